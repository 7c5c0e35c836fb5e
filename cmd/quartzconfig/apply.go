package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"time"

	"quartzpoint/configuration"
	"quartzpoint/internal/config"
	"quartzpoint/internal/configwatch"
)

// applyCommand is the command that has a change accepted.
type applyCommand struct {
	serviceFile
	File string        `arg:"" help:"The change (JSON), or a platform configuration, whose routes and tenants are then all; - for standard input."`
	ID   string        `name:"id" help:"Under which the change is accepted once, however often it is applied; drawn where it is not stated."`
	Base *uint64       `help:"The version it was made on: refused where that is not the newest. Wins over the file's."`
	Wait time.Duration `default:"15s" help:"How long to try."`
}

// Run prints the version.
func (cmd *applyCommand) Run() error {
	stated, keys, err := cmd.read()
	if err != nil {
		return err
	}
	change, err := cmd.change()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Wait)
	defer cancel()
	version, err := configwatch.Propose(ctx, sessionAddresses(stated), keys, change)
	if err != nil {
		return fmt.Errorf("%w\nid of the change: %s", err, change.ID)
	}
	fmt.Println(version)
	return nil
}

// change is what the file holds, with what the command line says of it.
func (cmd *applyCommand) change() (change configuration.Change, err error) {
	raw := []byte(nil)
	if cmd.File == "-" {
		raw, err = io.ReadAll(io.LimitReader(os.Stdin, configuration.MaxChangeBytes+1))
	} else {
		raw, err = os.ReadFile(cmd.File)
	}
	if err != nil {
		return change, fmt.Errorf("change: %w", err)
	}
	if change, err = configuration.ParseChange(raw); err != nil {
		return change, err
	}
	if cmd.ID != "" {
		change.ID = cmd.ID
	}
	if change.ID == "" {
		var drawn [16]byte
		_, _ = rand.Read(drawn[:]) // never fails
		change.ID = hex.EncodeToString(drawn[:])
	}
	if cmd.Base != nil {
		change.Base = cmd.Base
	}
	return change, nil
}

func sessionAddresses(stated *config.ControlService) (addresses []string) {
	for _, m := range stated.Machines {
		addresses = append(addresses, m.Sessions)
	}
	return addresses
}
