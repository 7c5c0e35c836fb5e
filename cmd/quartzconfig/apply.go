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

// idBytes is the size of a randomly generated change ID.
const idBytes = 16

// applyCommand proposes a change.
type applyCommand struct {
	serviceFile
	File string        `arg:"" help:"The file with the change (JSON), or a platform configuration, whose routes and tenants then replace all others; - reads standard input."`
	ID   string        `name:"id" help:"The ID of the change; a change is accepted once per ID, however often it is applied. Overrides the ID in the file; random if neither is given."`
	Base *uint64       `help:"The version that the change is based on; the change is rejected if a newer version exists. Overrides the base in the file."`
	Wait time.Duration `default:"15s" help:"Maximum time to keep trying."`
}

// Run proposes the change and prints the resulting version.
func (cmd *applyCommand) Run() error {
	service, keys, err := cmd.read()
	if err != nil {
		return err
	}
	change, err := cmd.change()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Wait)
	defer cancel()
	version, err := configwatch.Propose(ctx, sessionAddresses(service), keys, change)
	if err != nil {
		return fmt.Errorf("%w\nid of the change: %s", err, change.ID)
	}
	fmt.Println(version)
	return nil
}

// change returns the change read from the file, with the ID and base of the command line, or with a random ID if there
// is none.
func (cmd *applyCommand) change() (configuration.Change, error) {
	raw, err := cmd.readFile()
	if err != nil {
		return configuration.Change{}, fmt.Errorf("read change: %w", err)
	}
	change, err := configuration.ParseChange(raw)
	if err != nil {
		return configuration.Change{}, err
	}
	if cmd.ID != "" {
		change.ID = cmd.ID
	}
	if change.ID == "" {
		var id [idBytes]byte
		_, _ = rand.Read(id[:]) // never returns an error
		change.ID = hex.EncodeToString(id[:])
	}
	if cmd.Base != nil {
		change.Base = cmd.Base
	}
	return change, nil
}

func (cmd *applyCommand) readFile() ([]byte, error) {
	if cmd.File == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, configuration.MaxChangeBytes+1)) // one byte over the limit, so that Propose rejects a change that is too long
	}
	return os.ReadFile(cmd.File)
}

func sessionAddresses(service *config.ControlService) []string {
	var addresses []string
	for _, m := range service.Machines {
		addresses = append(addresses, m.Sessions)
	}
	return addresses
}
