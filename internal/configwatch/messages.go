package configwatch

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quartzpoint/configuration"
	"quartzpoint/internal/strictcbor"
)

// Limits of encoded messages and of fields in them, in bytes. The receiver of a longer message gets an error instead of
// it. A longer reason is cut before it is sent, so that the Report stays within MaxReportBytes.
const (
	MaxRequestBytes  = configuration.MaxChangeBytes + 4<<10
	MaxUpdateBytes   = 64 << 20 // large enough for a snapshot of the largest tables
	MaxReportBytes   = 16 << 10
	MaxResponseBytes = 1 << 20
	maxNameBytes     = 128     // of a watcher or a zone
	maxReasonBytes   = 8 << 10 // of Report.Reason
)

// Heartbeat is the interval at which a control machine sends an empty Update if it has nothing else to send. A watcher
// that receives nothing for three intervals connects to another machine.
const Heartbeat = time.Second

// Request is the first message of a session. Exactly one of its fields is set.
type Request struct {
	Watch  *WatchRequest  `cbor:"1,keyasint,omitempty"`
	Change []byte         `cbor:"2,keyasint,omitempty"` // a configuration.Change encoded as JSON
	Status *StatusRequest `cbor:"3,keyasint,omitempty"`
}

// WatchRequest requests all versions after Version, including those that are accepted later. The control machine
// replies with Update messages and the watcher sends Report messages, until the session ends.
type WatchRequest struct {
	Name    string               `cbor:"1,keyasint"`
	Zone    string               `cbor:"2,keyasint,omitempty"`
	Version uint64               `cbor:"3,keyasint"` // in force at the watcher
	Digest  configuration.Digest `cbor:"4,keyasint"` // of the document of that version
}

// Validate checks the lengths of the watcher's name and zone.
func (r *WatchRequest) Validate() error {
	if r.Name == "" || len(r.Name) > maxNameBytes || len(r.Zone) > maxNameBytes {
		return fmt.Errorf("watch request: want a name of 1 to %d bytes and a zone no longer than that", maxNameBytes)
	}
	return nil
}

// StatusRequest requests the ReplicaStatus of a control machine.
type StatusRequest struct{}

// Update carries deltas or a snapshot that bring a watcher closer to the latest version. Without either it is a
// heartbeat.
type Update struct {
	Deltas   [][]byte `cbor:"1,keyasint,omitempty"` // encoded, of consecutive versions
	Snapshot []byte   `cbor:"2,keyasint,omitempty"`
	Latest   uint64   `cbor:"3,keyasint"` // latest version on this control machine
}

// Report acknowledges an Update. It states the version in force at the watcher. If the update could not be fully
// applied, Rejected is the Latest of the update, Reason states why, and Version is the last version that could be
// applied.
type Report struct {
	Version  uint64               `cbor:"1,keyasint"`
	Digest   configuration.Digest `cbor:"2,keyasint"`
	Rejected uint64               `cbor:"3,keyasint,omitempty"` // 0 if the update was fully applied
	Reason   string               `cbor:"4,keyasint,omitempty"`
}

// ChangeResponse is the response to a proposed change. Version is set if the change was accepted, and Violations if it
// was rejected. Otherwise Error states the failure. A machine that is not the leader does not propose the change, and
// sets Leader if it knows which one is. After any other failure the change may still have been accepted.
type ChangeResponse struct {
	Version    uint64                    `cbor:"1,keyasint,omitempty"` // accepted version
	Violations []configuration.Violation `cbor:"2,keyasint,omitempty"` // why the change was rejected
	Leader     string                    `cbor:"3,keyasint,omitempty"` // session address of the leader, to which to propose the change
	Error      string                    `cbor:"4,keyasint,omitempty"` // why the change was not proposed, or why its outcome is unknown
}

// ReplicaStatus is the state of a control machine and of its watchers.
type ReplicaStatus struct {
	Name     string               `cbor:"1,keyasint" json:"name"`
	Leader   string               `cbor:"2,keyasint" json:"leader"` // name of the leader; empty if none is known
	Version  uint64               `cbor:"3,keyasint" json:"version"`
	Digest   configuration.Digest `cbor:"4,keyasint" json:"digest"`
	Watchers int                  `cbor:"5,keyasint" json:"watchers"`
	// PropagationDelays holds the times from the acceptance of a version to the report that it is in force, for the
	// latest reports.
	PropagationDelays []time.Duration  `cbor:"6,keyasint" json:"lags_ns"`
	Lagging           []LaggingWatcher `cbor:"7,keyasint" json:"behind"`
}

// LaggingWatcher describes a watcher that does not have the latest version in force.
type LaggingWatcher struct {
	Name    string        `cbor:"1,keyasint" json:"name"`
	Zone    string        `cbor:"2,keyasint" json:"zone"`
	Version uint64        `cbor:"3,keyasint" json:"version"`         // in force at the watcher
	Lag     time.Duration `cbor:"4,keyasint" json:"since_ns"`        // since the next version was accepted; 0 if unknown
	Reason  string        `cbor:"5,keyasint" json:"fault,omitempty"` // why it could not apply a later version
}

// maxArrayElements is the maximum length of an array in a message.
const maxArrayElements = 1 << 13

// decMode limits the memory that decoding a received message can allocate. The encoded documents and deltas inside
// messages are decoded by package configuration, which has its own limits.
var decMode = strictcbor.NewDecMode(maxArrayElements, false)

// Encode encodes a message of this package. It panics if the message cannot be encoded.
func Encode(message any) []byte {
	raw, err := cbor.Marshal(message)
	if err != nil {
		panic(fmt.Errorf("encode message: %w", err)) // the messages of this package can always be encoded
	}
	return raw
}

// Decode decodes a message of this package into a value of its type.
func Decode(raw []byte, message any) error {
	if err := decMode.Unmarshal(raw, message); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
