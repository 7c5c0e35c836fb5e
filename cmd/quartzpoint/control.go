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

const controlWait = time.Second // for a turn of the owner of decisions

// The questions that the control socket answers.
const (
	askDependencies  = "dependencies"
	askLease         = "lease"
	askConfiguration = "configuration"
)

// operatorAnswers are what operators may ask a running server about. What the server does not have is nil.
type operatorAnswers struct {
	owner        *server.Server
	composer     *fanout.Composer
	leaseManager *leasing.Manager
	watcher      *configwatch.Watcher
}

// listen answers at a path until the context ends. Without a path nothing listens.
func (a operatorAnswers) listen(ctx context.Context, path string) error {
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

func (a operatorAnswers) answer(q adminsocket.Request) (any, error) {
	switch {
	case q.Query == askLease && a.leaseManager != nil:
		return a.leaseManager.Status(), nil
	case q.Query == askConfiguration && a.watcher != nil:
		return a.watcher.Status(), nil
	case q.Query == askDependencies && a.composer != nil:
		return a.dependencies()
	case q.Query == askLease || q.Query == askConfiguration || q.Query == askDependencies:
		return nil, fmt.Errorf("this server has no [%s]", q.Query)
	}
	return nil, fmt.Errorf("unknown question %q", q.Query)
}

// dependencies are told in the owner's turn, which has them.
func (a operatorAnswers) dependencies() (any, error) {
	told := make(chan any, 1)
	a.owner.Submit(func() { told <- a.composer.States(a.owner.Now()) })
	select {
	case states := <-told:
		return states, nil
	case <-time.After(controlWait):
		return nil, errors.New("the server is too busy to answer")
	}
}
