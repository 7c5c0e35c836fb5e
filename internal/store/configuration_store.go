package store

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"quartzpoint/configuration"
	"quartzpoint/internal/datadir"
)

// ConfigurationStore stores the current configuration. A file contains a complete document and the deltas accepted
// after it. The first change after a start or a failed Append begins a new file, and so does a change once the deltas
// exceed both the size of the document and minRetainedDeltaBytes. If a crash cut a file short, the items before the
// first incomplete one are used. A ConfigurationStore is not safe for concurrent use.
type ConfigurationStore struct {
	dir           datadir.Dir
	file          datadir.File // receives the next delta; nil if the next change starts a new file
	id            uint64       // of the files written since the start
	fileNumber    uint64       // of the newest file
	sequence      uint64       // of the last frame in the file
	documentBytes int          // of the document in the file
	deltaBytes    int          // of the deltas after the document
}

const (
	configurationPrefix   = "configuration-"
	configurationKind     = 0xC0      // Kind of the header; other files of this package do not have it
	chunkBytes            = 128 << 10 // maximum number of bytes of an item in one frame
	minRetainedDeltaBytes = 256 << 10 // deltas up to this size do not cause a new file
	maxConfigurationBytes = 128 << 20
)

var errNoDocument = errors.New("no complete document")

// configurationHeader is the first frame of a file.
type configurationHeader struct {
	Kind int    `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
}

// configurationChunk is one frame's part of an item. An item is a document or a delta.
type configurationChunk struct {
	WrittenAtMillis int64  `cbor:"1,keyasint"` // Unix time
	Delta           bool   `cbor:"2,keyasint,omitempty"`
	Last            bool   `cbor:"3,keyasint,omitempty"`
	Bytes           []byte `cbor:"4,keyasint"`
}

// RecoveredConfiguration is the result of reading the directory at a start.
type RecoveredConfiguration struct {
	Document  *configuration.Document // nil if no file has a complete one
	WrittenAt time.Time               // time of the last item that is used
	Skipped   []string                // names of files that could not be used, each with the reason
}

// OpenConfigurationStore reads the newest file of a directory that has a complete document. From then on the store owns
// the directory.
func OpenConfigurationStore(dir datadir.Dir) (*ConfigurationStore, RecoveredConfiguration, error) {
	entries, err := dir.List()
	if err != nil {
		return nil, RecoveredConfiguration{}, fmt.Errorf("configuration: %w", err)
	}
	names := sortedFiles(entries, configurationPrefix)
	slices.Reverse(names)
	c, recovered := &ConfigurationStore{dir: dir, id: RandomID()}, RecoveredConfiguration{}
	for _, name := range names {
		if number, ok := parseFileName(configurationPrefix, name); ok {
			c.fileNumber = max(c.fileNumber, number)
		}
		if recovered.Document != nil {
			continue
		}
		raw, err := dir.Read(name, maxConfigurationBytes)
		if err == nil {
			recovered.Document, recovered.WrittenAt, err = readConfiguration(raw)
		}
		if err != nil {
			recovered.Skipped = append(recovered.Skipped, fmt.Sprintf("%s: %v", name, err))
		}
	}
	return c, recovered, nil
}

// readConfiguration reads the items of a file up to the first that is incomplete or cannot be applied.
func readConfiguration(raw []byte) (document *configuration.Document, writtenAt time.Time, err error) {
	sequence, payload, rest, ok := readFrame(raw, 0)
	var header configurationHeader
	if !ok || sequence != 0 || decoding.Unmarshal(payload, &header) != nil || header.Kind != configurationKind {
		return nil, writtenAt, errNoHeader
	}
	var item []byte
	for next := uint64(1); ; next++ {
		sequence, payload, rest, ok = readFrame(rest, header.ID)
		var chunk configurationChunk
		if !ok || sequence != next || decoding.Unmarshal(payload, &chunk) != nil {
			break
		}
		if item = append(item, chunk.Bytes...); !chunk.Last {
			continue
		}
		if document, err = applyItem(document, item, chunk.Delta); err != nil {
			break
		}
		writtenAt, item = time.UnixMilli(chunk.WrittenAtMillis), nil
	}
	if document == nil {
		return nil, writtenAt, errors.Join(errNoDocument, err)
	}
	return document, writtenAt, nil
}

// applyItem decodes a document, or applies a delta to the given document. A delta that cannot be applied leaves the
// document unchanged.
func applyItem(document *configuration.Document, item []byte, isDelta bool) (*configuration.Document, error) {
	if !isDelta {
		next, err := configuration.DecodeSnapshot(item)
		if err != nil {
			return document, err
		}
		return next, nil
	}
	if document == nil {
		return nil, errNoDocument
	}
	delta, err := configuration.DecodeDelta(item)
	if err != nil {
		return document, err
	}
	return document, document.Apply(delta)
}

// Replace starts a new file with a document, and removes the earlier files.
func (c *ConfigurationStore) Replace(document *configuration.Document) error {
	c.fileNumber++
	name, snapshot := fileName(configurationPrefix, c.fileNumber), document.Snapshot()
	raw := appendFrame(nil, 0, 0, configurationHeader{Kind: configurationKind, ID: c.id})
	c.sequence = 0
	raw = c.appendItem(raw, snapshot, false)
	file, err := c.dir.Create(name)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	_, err = file.Write(raw)
	if err = errors.Join(err, file.Sync(), c.dir.Sync()); err != nil {
		return errors.Join(fmt.Errorf("configuration: %w", err), file.Close())
	}
	if c.file != nil {
		err = c.file.Close()
	}
	c.file, c.documentBytes, c.deltaBytes = file, len(raw), 0
	return errors.Join(err, c.removeAllBut(name))
}

// removeAllBut removes all configuration files except keep.
func (c *ConfigurationStore) removeAllBut(keep string) error {
	entries, err := c.dir.List()
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	for _, name := range sortedFiles(entries, configurationPrefix) {
		if name != keep {
			err = errors.Join(err, c.dir.Remove(name))
		}
	}
	return errors.Join(err, c.dir.Sync())
}

// appendItem appends the frames of a document or delta.
func (c *ConfigurationStore) appendItem(raw, item []byte, isDelta bool) []byte {
	now := time.Now().UnixMilli()
	for {
		size := min(len(item), chunkBytes)
		c.sequence++
		raw = appendFrame(raw, c.id, c.sequence, configurationChunk{
			WrittenAtMillis: now, Delta: isDelta, Last: size == len(item), Bytes: item[:size],
		})
		if item = item[size:]; len(item) == 0 {
			return raw
		}
	}
}

// Append stores a delta; document is the configuration after that delta. If a new file is due, Append stores document
// instead of the delta. It returns once the change is durable.
func (c *ConfigurationStore) Append(delta configuration.Delta, document *configuration.Document) error {
	if c.file == nil || c.deltaBytes > max(c.documentBytes, minRetainedDeltaBytes) {
		return c.Replace(document)
	}
	raw := c.appendItem(nil, delta.Encode(), true)
	c.deltaBytes += len(raw)
	_, err := c.file.Write(raw)
	if err == nil {
		err = c.file.Sync()
	}
	if err != nil {
		// Items after an incomplete one are not read, so the next change starts a new file.
		err = errors.Join(err, c.file.Close())
		c.file = nil
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// Close closes the file and the directory.
func (c *ConfigurationStore) Close() error {
	var err error
	if c.file != nil {
		err = c.file.Close()
	}
	return errors.Join(err, c.dir.Close())
}
