package config

import (
	"time"

	"quartzpoint/budget"
)

const (
	maxDependencies = 16
	maxInFlight     = 1000 // concurrent calls
	maxQueueLimit   = 4096 // calls
	maxConnections  = 16
)

// Dependency is a service to which requests make calls.
type Dependency struct {
	budget.Options
	Address        string
	Connections    int
	SilenceTimeout time.Duration // a connection that awaits a response and reads nothing for longer is closed
}

func readDependencies(s *section) []Dependency {
	var all []Dependency
	for _, sub := range s.subsections(maxDependencies) {
		all = append(all, Dependency{
			Options: budget.Options{
				Name:             sub.name,
				MaxInFlight:      sub.integer("share", 8, 1, maxInFlight),
				QueueLimit:       sub.integer("waiting", 64, 0, maxQueueLimit),
				CancelledTimeout: sub.duration("linger", 2*time.Second, 10*time.Millisecond, time.Minute),
				RetryRatio:       sub.float("second-attempts", 0.1, 0.5),
			},
			Address: sub.stringValue("address", "", "an IP address and port, such as \"127.0.0.1:9501\", is allowed",
				isAddress),
			Connections:    sub.integer("connections", 2, 1, maxConnections),
			SilenceTimeout: sub.duration("silence", 2*time.Second, 100*time.Millisecond, time.Minute),
		})
		if !sub.has("address") {
			sub.addError("address", nil, "is missing")
		}
		sub.rejectUnknown()
	}
	s.rejectUnknown()
	return all
}
