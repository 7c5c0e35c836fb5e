package main

import (
	"fmt"
	"os"
	"time"

	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/controlsocket"
)

// configurationCommands are the commands that query a server's watch of the configuration service.
type configurationCommands struct {
	Show configurationShowCommand `cmd:"" help:"Print the version in force at a running server, and the time since its last contact with the service."`
}

// configurationShowCommand prints the status of a server's watch.
type configurationShowCommand struct {
	Socket string `arg:"" help:"The server's control socket, as in its [control] socket."`
	JSON   bool   `name:"json" help:"Print JSON; times in nanoseconds."`
}

// Run queries the server once.
func (cmd *configurationShowCommand) Run() error {
	var status configwatch.WatcherStatus
	if err := controlsocket.Query(cmd.Socket, controlsocket.Request{Query: queryConfiguration}, &status); err != nil {
		return err
	}
	if cmd.JSON {
		return printJSON(os.Stdout, status)
	}
	lastContact := "never"
	if status.SinceContact >= 0 {
		lastContact = status.SinceContact.Round(time.Millisecond).String() + " ago"
	}
	fmt.Printf("version %d, connected %t, last contact with the service %s\n", status.Version, status.Connected, lastContact)
	return nil
}
