package recovery

import (
	"fmt"
	"time"

	"quartzpoint/estimate"
)

// FormatVersion is the version of the files that this program writes.
const FormatVersion = 2

// ContentType is the type of a file's content.
type ContentType uint8

// The content types. Their values are stored.
const (
	EstimatesFile ContentType = 1 // one snapshot of the estimates
	KeyTableFile  ContentType = 2 // one snapshot of the key table
	KeyLogFile    ContentType = 3 // records of idempotency keys, in the order of their sequence numbers
)

// Header is the first frame of every file.
type Header struct {
	Version        int         `cbor:"1,keyasint" json:"version"`
	Content        ContentType `cbor:"2,keyasint" json:"content"`
	Site           string      `cbor:"3,keyasint,omitempty" json:"site"`
	SettingsDigest uint64      `cbor:"4,keyasint,omitempty" json:"terms"` // of the settings under which the estimates were made
	CreatedAt      Timestamp   `cbor:"5,keyasint,omitempty" json:"at"`
	ID             uint64      `cbor:"6,keyasint" json:"id"` // random; the checksum of every frame covers it
	// Sequence orders the files of one content type. It is the sequence number of a log's first record, that of the
	// last record that a key table covers, and a serial number for estimates.
	Sequence   uint64 `cbor:"7,keyasint" json:"place"`
	LegacyWall int64  `cbor:"8,keyasint,omitempty" json:"-"` // version 1 only: wall clock in nanoseconds, instead of CreatedAt
}

// File is one state file after it was read and checked.
type File struct {
	Name          string
	Err           error // why no part of the file can be used; nil if some part can
	Header        Header
	Estimates     *estimate.Snapshot // of a complete EstimatesFile; otherwise nil
	Records       []Record           // in order, up to the first damage
	Complete      bool               // the file was read to its end without damage
	CompleteBytes int64              // offset of the first damage
	Salvaged      []Record           // undamaged records after the first damage
}

// migrations convert a file to the next version, by the version that it has.
var migrations = map[int]func(*File){
	// Version 1 records neither boot nor machine, so none of its dedup windows counts as passed and its estimates age
	// by the wall clock.
	1: func(f *File) { f.Header.CreatedAt = Timestamp{Wall: time.Duration(f.Header.LegacyWall)} },
}

// Migrate converts a file to FormatVersion, one version at a time. It returns an error if the file's version is newer
// or has no migration.
func Migrate(f *File) error {
	if f.Header.Version > FormatVersion {
		return fmt.Errorf("version %d, and %d at the most is known here", f.Header.Version, FormatVersion)
	}
	for f.Header.Version < FormatVersion {
		migrate := migrations[f.Header.Version]
		if migrate == nil {
			return fmt.Errorf("version %d, from which no step leads here", f.Header.Version)
		}
		migrate(f)
		f.Header.Version++
	}
	return nil
}
