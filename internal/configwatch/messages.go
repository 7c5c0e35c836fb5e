package configwatch

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quartzpoint/configuration"
	"quartzpoint/internal/strictcbor"
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

// Heartbeat is the interval at which a control machine sends an empty Update when it has nothing else to send. A watcher
// that receives nothing for three of them connects to another machine.
const Heartbeat = time.Second

// Request is the first message of a session. Exactly one of its fields is set.
type Request struct {
	Watch  *WatchRequest  `cbor:"1,keyasint,omitempty"`
	Change []byte         `cbor:"2,keyasint,omitempty"` // a configuration.Change as JSON
	Status *StatusRequest `cbor:"3,keyasint,omitempty"`
}

// WatchRequest asks for everything after a version, as it is accepted. Update messages follow, and Report messages are
// sent back, until the session ends.
type WatchRequest struct {
	Name    string               `cbor:"1,keyasint"`
	Zone    string               `cbor:"2,keyasint,omitempty"`
	Version uint64               `cbor:"3,keyasint"` // in force at the watcher
	Digest  configuration.Digest `cbor:"4,keyasint"`
}

// Validate checks the watcher's name and zone.
func (r *WatchRequest) Validate() error {
	if r.Name == "" || len(r.Name) > maxNameBytes || len(r.Zone) > maxNameBytes {
		return fmt.Errorf("a name of 1 to %d bytes, and a zone of no more, are needed", maxNameBytes)
	}
	return nil
}

// StatusRequest asks for the ReplicaStatus of a control machine.
type StatusRequest struct{}

// Update brings a watcher closer to the latest version, by deltas or a snapshot. Without either it is a heartbeat.
type Update struct {
	Deltas   [][]byte `cbor:"1,keyasint,omitempty"` // encoded, consecutive
	Snapshot []byte   `cbor:"2,keyasint,omitempty"`
	Latest   uint64   `cbor:"3,keyasint"` // version on this machine
}

// Report acknowledges an Update: the version in force at the watcher, and why a later one is not.
type Report struct {
	Version  uint64               `cbor:"1,keyasint"`
	Digest   configuration.Digest `cbor:"2,keyasint"`
	Rejected uint64               `cbor:"3,keyasint,omitempty"` // the newest version of the update that could not be applied; 0 for none. Version is the last that could
	Reason   string               `cbor:"4,keyasint,omitempty"`
}

// ChangeResponse is the response to a proposed change. One of its fields is set, or none where no leader is known.
type ChangeResponse struct {
	Version    uint64                    `cbor:"1,keyasint,omitempty"` // the accepted version
	Violations []configuration.Violation `cbor:"2,keyasint,omitempty"` // why the change was rejected
	Leader     string                    `cbor:"3,keyasint,omitempty"` // address of the machine to ask instead
	Error      string                    `cbor:"4,keyasint,omitempty"` // why the outcome is unknown
}

// ReplicaStatus is the state of a control machine and of its watchers.
type ReplicaStatus struct {
	Name     string               `cbor:"1,keyasint" json:"name"`
	Leader   string               `cbor:"2,keyasint" json:"leader"` // its name; empty where none is known
	Version  uint64               `cbor:"3,keyasint" json:"version"`
	Digest   configuration.Digest `cbor:"4,keyasint" json:"digest"`
	Watchers int                  `cbor:"5,keyasint" json:"watchers"`
	// PropagationDelays are the times from the acceptance of a version to the report that it is in force, of the latest
	// reports.
	PropagationDelays []time.Duration  `cbor:"6,keyasint" json:"lags_ns"`
	Lagging           []LaggingWatcher `cbor:"7,keyasint" json:"behind"`
}

// LaggingWatcher is a watcher at which the latest version is not in force.
type LaggingWatcher struct {
	Name      string        `cbor:"1,keyasint" json:"name"`
	Zone      string        `cbor:"2,keyasint" json:"zone"`
	Version   uint64        `cbor:"3,keyasint" json:"version"`         // in force there
	BehindFor time.Duration `cbor:"4,keyasint" json:"since_ns"`        // since the version after it was accepted
	Reason    string        `cbor:"5,keyasint" json:"fault,omitempty"` // why it could not apply a later version
}

// maxArrayElements bounds the arrays of a message.
const maxArrayElements = 1 << 13

// decMode bounds the memory that a received message can make its reader allocate. The encoded documents and deltas
// inside are decoded by package configuration, under its own bounds.
var decMode = strictcbor.NewDecMode(maxArrayElements, false)

// Encode encodes a message of this package.
func Encode(message any) []byte {
	raw, err := cbor.Marshal(message)
	if err != nil {
		panic(fmt.Errorf("cbor: %w", err)) // the package's own messages can always be encoded
	}
	return raw
}

// Decode decodes a message into one of this package's types.
func Decode(raw []byte, message any) error {
	if err := decMode.Unmarshal(raw, message); err != nil {
		return fmt.Errorf("message: %w", err)
	}
	return nil
}
