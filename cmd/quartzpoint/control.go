package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quartzpoint/internal/configwatch"
	"quartzpoint/internal/controlsocket"
	"quartzpoint/internal/fanout"
	"quartzpoint/internal/leasing"
	"quartzpoint/internal/server"
)

const queryTimeout = time.Second // for the event loop to run the query

// The queries that the control socket answers.
const (
	queryDependencies  = "dependencies"
	queryLease         = "lease"
	queryConfiguration = "configuration"
)

// controlHandler answers operators' queries about a running server. A component that the server does not have is nil.
type controlHandler struct {
	server       *server.Server
	composer     *fanout.Composer
	leaseManager *leasing.Manager
	watcher      *configwatch.Watcher
}

// listen answers queries on a Unix socket at path until ctx ends. Without a path it does nothing.
func (c controlHandler) listen(ctx context.Context, path string) error {
	if path == "" {
		return nil
	}
	socket, err := controlsocket.Listen(path, c.answer)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, socket.Close)
	return nil
}

func (c controlHandler) answer(request controlsocket.Request) (any, error) {
	switch {
	case request.Query == queryLease && c.leaseManager != nil:
		return c.leaseManager.Status(), nil
	case request.Query == queryConfiguration && c.watcher != nil:
		return c.watcher.Status(), nil
	case request.Query == queryDependencies && c.composer != nil:
		return c.dependencies()
	case request.Query == queryLease || request.Query == queryConfiguration || request.Query == queryDependencies:
		return nil, fmt.Errorf("this server has no [%s]", request.Query)
	}
	return nil, fmt.Errorf("unknown query %q", request.Query)
}

// dependencies reads the states of the dependencies on the event loop, which owns them.
func (c controlHandler) dependencies() (any, error) {
	result := make(chan any, 1)
	c.server.Submit(func() { result <- c.composer.States(c.server.Now()) })
	select {
	case states := <-result:
		return states, nil
	case <-time.After(queryTimeout):
		return nil, errors.New("the server is too busy to answer")
	}
}
