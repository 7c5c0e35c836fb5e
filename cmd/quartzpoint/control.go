package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quartzpoint/internal/adminsocket"
	"quartzpoint/internal/configwatch"
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

// adminHandler answers operators' queries about a running server. A component that the server does not have is nil.
type adminHandler struct {
	server       *server.Server
	composer     *fanout.Composer
	leaseManager *leasing.Manager
	watcher      *configwatch.Watcher
}

// listen answers queries on a Unix socket at path until ctx ends. Without a path it does nothing.
func (a adminHandler) listen(ctx context.Context, path string) error {
	if path == "" {
		return nil
	}
	socket, err := adminsocket.Listen(path, a.answer)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, socket.Close)
	return nil
}

func (a adminHandler) answer(request adminsocket.Request) (any, error) {
	switch {
	case request.Query == queryLease && a.leaseManager != nil:
		return a.leaseManager.Status(), nil
	case request.Query == queryConfiguration && a.watcher != nil:
		return a.watcher.Status(), nil
	case request.Query == queryDependencies && a.composer != nil:
		return a.dependencies()
	case request.Query == queryLease || request.Query == queryConfiguration || request.Query == queryDependencies:
		return nil, fmt.Errorf("this server has no [%s]", request.Query)
	}
	return nil, fmt.Errorf("unknown query %q", request.Query)
}

// dependencies reads the states of the dependencies on the event loop, which owns them.
func (a adminHandler) dependencies() (any, error) {
	result := make(chan any, 1)
	a.server.Submit(func() { result <- a.composer.States(a.server.Now()) })
	select {
	case states := <-result:
		return states, nil
	case <-time.After(queryTimeout):
		return nil, errors.New("the server is too busy to answer")
	}
}
