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

// checkCommand checks the configuration files that serveCommand would read.
type checkCommand struct {
	File   string `arg:"" optional:"" env:"EDGE_CONFIG" help:"The platform's configuration (JSON)."`
	Config string `name:"config" aliases:"own" placeholder:"FILE" help:"The product's own file (TOML)."`
}

// Run prints all errors, or a line that there are none.
func (cmd *checkCommand) Run() error {
	var errs []error
	var timeouts map[string]time.Duration // by route; nil without the platform's configuration
	if cmd.File != "" {
		s, err := readPlatformConfig(cmd.File)
		errs, timeouts = append(errs, err), s.routeTimeouts
	}
	if cmd.Config != "" {
		file, err := config.Read(cmd.Config)
		errs = append(errs, err)
		if err == nil && timeouts != nil {
			_, err := composedRoutes(file, timeouts)
			errs = append(errs, err)
			for _, routePlan := range file.Routes {
				if timeout, known := timeouts[routePlan.Name]; known && err == nil {
					errs = append(errs, printTimeline(os.Stdout, routePlan, file.Dependencies, timeout))
				}
			}
		}
		if err == nil && file.State != nil {
			errs = append(errs, checkStateDir(file.State.Dir))
		}
		if err == nil && file.Peers != nil && file.Peers.KeyFile != "" {
			_, err := peersync.ReadKeys(file.Peers.KeyFile)
			errs = append(errs, err)
		}
	}
	if cmd.File == "" && cmd.Config == "" {
		return errors.New("nothing to check: name a FILE, set EDGE_CONFIG, or use --config")
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, "no faults")
	return nil
}

// checkStateDir returns the error with which opening a state directory would fail. A start creates a directory that
// does not exist, so in that case only its parent must exist.
func checkStateDir(dir string) error {
	opened, err := datadir.Open(dir, true)
	if err == nil {
		return opened.Close()
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("state.dir: %w", err)
	}
	if _, err := os.Stat(filepath.Dir(filepath.Clean(dir))); err != nil {
		return fmt.Errorf("state.dir: %w", err)
	}
	return nil
}
