package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"quartzpoint/internal/config"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/peersync"
)

// checking is the command that reads what serving would be told.
type checking struct {
	File   string `arg:"" optional:"" env:"EDGE_CONFIG" help:"The platform's configuration (JSON)."`
	Config string `name:"config" aliases:"own" placeholder:"FILE" help:"The product's own file (TOML)."`
}

// Run prints every fault, or that there is none.
func (cmd *checking) Run() error {
	var faults []error
	var whole map[string]time.Duration // that a task of each type has; unknown without the platform's configuration
	if cmd.File != "" {
		s, err := told(cmd.File)
		faults, whole = append(faults, err), s.types
	}
	if cmd.Config != "" {
		ours, err := config.Read(cmd.Config)
		faults = append(faults, err)
		if err == nil && whole != nil {
			_, err := composedRoutes(ours, whole)
			faults = append(faults, err)
			for _, t := range ours.Routes {
				if time, known := whole[t.Name]; known && err == nil {
					faults = append(faults, printTimeline(os.Stdout, t, ours.Dependencies, time))
				}
			}
		}
		if err == nil && ours.State != nil {
			faults = append(faults, stateFault(ours.State.Dir))
		}
		if err == nil && ours.Peers != nil && ours.Peers.KeyFile != "" {
			_, err := peersync.ReadKeys(ours.Peers.KeyFile)
			faults = append(faults, err)
		}
	}
	if cmd.File == "" && cmd.Config == "" {
		return errors.New("nothing to check: name a FILE, set EDGE_CONFIG, or use --config")
	}
	if err := errors.Join(faults...); err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, "no faults")
	return nil
}

// stateFault is what a folder of state could not be opened for. One that is not there yet is made at the start, in a folder
// that is.
func stateFault(dir string) error {
	in, err := datadir.Open(dir, true)
	if err == nil {
		return in.Close()
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("state.dir: %w", err)
	}
	if _, err := os.Stat(filepath.Dir(filepath.Clean(dir))); err != nil {
		return fmt.Errorf("state.dir: %w", err)
	}
	return nil
}
