// Package configwatch is an app server's watch of the configuration service: it holds a session with one of the control
// machines, takes the changes that the server lacks, has them come into force in their order, reports the version in
// force, and keeps the last one on disk. The messages of the service are here too, for both of its sides.
package configwatch

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quartzpoint/configuration"
)

// Bounds of messages, in bytes.
const (
	MaxRequestBytes  = configuration.MaxChangeBytes + 4<<10
	MaxUpdateBytes   = 64 << 20 // a snapshot of the largest tables
	MaxReportBytes   = 16 << 10
	MaxResponseBytes = 1 << 20
	maxNameBytes     = 128 // of a watcher or a zone
	maxReasonBytes   = 8 << 10
)

// Heartbeat is the time between messages of a control machine that has nothing else to tell. A watcher that hears
// nothing for three of them looks for another machine.
const Heartbeat = time.Second

// Request is the first message of a session; one of its fields is set.
type Request struct {
	Watch  *WatchRequest  `cbor:"1,keyasint,omitempty"`
	Change []byte         `cbor:"2,keyasint,omitempty"` // a configuration.Change as JSON
	Status *StatusRequest `cbor:"3,keyasint,omitempty"`
}

// WatchRequest asks for all that is behind a version, from now on.
type WatchRequest struct {
	Name    string               `cbor:"1,keyasint"`
	Zone    string               `cbor:"2,keyasint,omitempty"`
	Version uint64               `cbor:"3,keyasint"`
	Digest  configuration.Digest `cbor:"4,keyasint"`
}

// StatusRequest asks how a control machine and its watchers stand. It is empty.
type StatusRequest struct{}

// Update tells a watcher what it lacks, or, without anything, that the machine is there.
type Update struct {
	Deltas   [][]byte `cbor:"1,keyasint,omitempty"`
	Snapshot []byte   `cbor:"2,keyasint,omitempty"`
	Latest   uint64   `cbor:"3,keyasint"`
}

// Report tells a control machine which version is in force at a watcher, and, where one could not be, why.
type Report struct {
	Version  uint64               `cbor:"1,keyasint"`
	Digest   configuration.Digest `cbor:"2,keyasint"`
	Rejected uint64               `cbor:"3,keyasint,omitempty"` // the version that could not come into force
	Reason   string               `cbor:"4,keyasint,omitempty"`
}

// ChangeResponse answers a change.
type ChangeResponse struct {
	Version    uint64                    `cbor:"1,keyasint,omitempty"` // as which it was accepted
	Violations []configuration.Violation `cbor:"2,keyasint,omitempty"` // why it was refused
	Leader     string                    `cbor:"3,keyasint,omitempty"` // where to ask instead; empty where nobody knows
	Error      string                    `cbor:"4,keyasint,omitempty"` // why it is not known what became of it
}

// ReplicaStatus answers a Status.
type ReplicaStatus struct {
	Name              string               `cbor:"1,keyasint" json:"name"`
	Leader            string               `cbor:"2,keyasint" json:"leader"` // by its name; empty where none is known
	Version           uint64               `cbor:"3,keyasint" json:"version"`
	Digest            configuration.Digest `cbor:"4,keyasint" json:"digest"`
	Watchers          int                  `cbor:"5,keyasint" json:"watchers"`
	PropagationDelays []time.Duration      `cbor:"6,keyasint" json:"lags_ns"` // of the latest reports, from the acceptance on
	Lagging           []LaggingWatcher     `cbor:"7,keyasint" json:"behind"`
}

// LaggingWatcher is a watcher that does not have the newest version in force.
type LaggingWatcher struct {
	Name      string        `cbor:"1,keyasint" json:"name"`
	Zone      string        `cbor:"2,keyasint" json:"zone"`
	Version   uint64        `cbor:"3,keyasint" json:"version"`
	BehindFor time.Duration `cbor:"4,keyasint" json:"since_ns"` // that the version behind its own was accepted
	Reason    string        `cbor:"5,keyasint" json:"fault,omitempty"`
}

// decMode bounds what a message may make of the memory of its reader; the bytes in it are read by package
// configuration, under bounds of its own.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 6, MaxArrayElements: 1 << 13, MaxMapPairs: 64,
	}.DecMode()
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err)) // the options are constant
	}
	return mode
}()

// Encode is a message as it is sent.
func Encode(message any) []byte {
	raw, err := cbor.Marshal(message)
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err)) // every message has a form
	}
	return raw
}

// Decode reads a message that was sent.
func Decode(raw []byte, message any) error {
	if err := decMode.Unmarshal(raw, message); err != nil {
		return fmt.Errorf("message: %w", err)
	}
	return nil
}

// Validate tells what is wrong with a watch that was asked for.
func (w *WatchRequest) Validate() error {
	if w.Name == "" || len(w.Name) > maxNameBytes || len(w.Zone) > maxNameBytes {
		return fmt.Errorf("a name of 1 to %d bytes, and a zone of no more, are needed", maxNameBytes)
	}
	return nil
}
