package main

import (
	"fmt"
	"os"
	"time"

	"quartzpoint/internal/adminsocket"
	"quartzpoint/internal/configwatch"
)

// configurationCommands are the commands about a server's watch of the configuration service.
type configurationCommands struct {
	Show configurationShowCommand `cmd:"" help:"Print which version is in force at a running server, and when the service was last heard of."`
}

// configurationShowCommand prints the state of a server's watch.
type configurationShowCommand struct {
	Socket string `arg:"" help:"The server's control socket, as in its [control] socket."`
	JSON   bool   `name:"json" help:"Print it as JSON; times in nanoseconds."`
}

// Run queries the server once.
func (cmd *configurationShowCommand) Run() error {
	var status configwatch.WatcherStatus
	if err := adminsocket.Query(cmd.Socket, adminsocket.Request{Query: queryConfiguration}, &status); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(os.Stdout, status)
	}
	lastContact := "never"
	if status.SinceContact >= 0 {
		lastContact = status.SinceContact.Round(time.Millisecond).String() + " ago"
	}
	fmt.Printf("version %d, connected %t, service last heard of %s\n", status.Version, status.Connected, lastContact)
	return nil
}
