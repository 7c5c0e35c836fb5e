package store

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"quartzpoint/configuration"
	"quartzpoint/internal/datadir"
)

// Configurations keeps the configuration in force: files of a whole document with the deltas behind it. A new file is
// begun at a start and once the deltas are more than the document; what a crash leaves of a file is used up to the last
// item that is whole.
type Configurations struct {
	folder datadir.Folder
	file   datadir.File // the deltas go on here; nil before the first Replace
	id     uint64
	place  uint64
	seq    uint64
	whole  int // bytes of the document in the file
	deltas int // bytes of the deltas behind it
}

const (
	configurationName  = "configuration-"
	configurationKind  = 0xC0 // of the header, which no other file of the package has
	chunkSize          = 128 << 10
	leastDeltas        = 256 << 10 // bytes of deltas that are always kept behind a document
	maxConfigurationMB = 128
)

// configurationHeader opens a file.
type configurationHeader struct {
	Kind int    `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
}

// chunk is a part of a document or delta.
type chunk struct {
	At    int64  `cbor:"1,keyasint"` // when it was written, in Unix milliseconds
	Delta bool   `cbor:"2,keyasint,omitempty"`
	Last  bool   `cbor:"3,keyasint,omitempty"`
	Bytes []byte `cbor:"4,keyasint"`
}

// Kept is what a start finds.
type Kept struct {
	Document *configuration.Document // nil for nothing of use
	Written  time.Time               // when the last of it was
	Passed   []string                // files of which nothing is used
}

// OpenConfigurations reads what the folder keeps, the newest file that is of any use.
func OpenConfigurations(in datadir.Folder) (*Configurations, Kept, error) {
	entries, err := in.List()
	if err != nil {
		return nil, Kept{}, fmt.Errorf("configuration: %w", err)
	}
	names := ours(entries, configurationName)
	slices.Sort(names)
	slices.Reverse(names)
	c, kept := &Configurations{folder: in, id: DrawID()}, Kept{}
	for _, name := range names {
		if place, is := placeOf(configurationName, name); is {
			c.place = max(c.place, place)
		}
		if kept.Document != nil {
			continue
		}
		raw, err := in.Read(name, maxConfigurationMB<<20)
		if err == nil {
			kept.Document, kept.Written, err = readConfiguration(raw)
		}
		if err != nil {
			kept.Passed = append(kept.Passed, fmt.Sprintf("%s: %v", name, err))
		}
	}
	return c, kept, nil
}

var errNoDocument = errors.New("no whole document")

// readConfiguration takes what is whole of a file.
func readConfiguration(raw []byte) (d *configuration.Document, written time.Time, err error) {
	seq, payload, rest, ok := cut(raw, 0)
	var header configurationHeader
	if !ok || seq != 0 || decoding.Unmarshal(payload, &header) != nil || header.Kind != configurationKind {
		return nil, written, errNoHeader
	}
	var item []byte
	for next := uint64(1); ; next++ {
		seq, payload, rest, ok = cut(rest, header.ID)
		var part chunk
		if !ok || seq != next || decoding.Unmarshal(payload, &part) != nil {
			break
		}
		if item = append(item, part.Bytes...); !part.Last {
			continue
		}
		if d, err = takeItem(d, item, part.Delta); err != nil {
			break
		}
		written, item = time.UnixMilli(part.At), nil
	}
	if d == nil {
		return nil, written, errors.Join(errNoDocument, err)
	}
	return d, written, nil
}

// takeItem puts a document, or a delta on the one before it. A delta that does not fit leaves that as it is.
func takeItem(d *configuration.Document, item []byte, isDelta bool) (*configuration.Document, error) {
	if !isDelta {
		whole, err := configuration.DecodeSnapshot(item)
		if err != nil {
			return d, err
		}
		return whole, nil
	}
	if d == nil {
		return nil, errNoDocument
	}
	delta, err := configuration.DecodeDelta(item)
	if err != nil {
		return d, err
	}
	return d, d.Apply(delta)
}

// Replace begins a file with a document, and removes those before it.
func (c *Configurations) Replace(d *configuration.Document) error {
	c.place++
	name, whole := nameOf(configurationName, c.place), d.Snapshot()
	raw := appendFrame(nil, 0, 0, configurationHeader{configurationKind, c.id})
	c.seq = 0
	raw = c.appendItem(raw, whole, false)
	file, err := c.folder.Create(name)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	_, err = file.Write(raw)
	if err = errors.Join(err, file.Sync(), c.folder.Sync()); err != nil {
		return errors.Join(fmt.Errorf("configuration: %w", err), file.Close())
	}
	if c.file != nil {
		err = c.file.Close()
	}
	c.file, c.whole, c.deltas = file, len(raw), 0
	return errors.Join(err, c.prune(name))
}

// prune removes all files but one.
func (c *Configurations) prune(keep string) error {
	entries, err := c.folder.List()
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	for _, name := range ours(entries, configurationName) {
		if name != keep {
			err = errors.Join(err, c.folder.Remove(name))
		}
	}
	return errors.Join(err, c.folder.Sync())
}

// appendItem adds the frames of a document or delta.
func (c *Configurations) appendItem(raw, item []byte, isDelta bool) []byte {
	now := time.Now().UnixMilli()
	for {
		size := min(len(item), chunkSize)
		c.seq++
		raw = appendFrame(raw, c.id, c.seq, chunk{At: now, Delta: isDelta, Last: size == len(item), Bytes: item[:size]})
		if item = item[size:]; len(item) == 0 {
			return raw
		}
	}
}

// Append puts a delta behind what is kept, which then comes to the document.
func (c *Configurations) Append(delta configuration.Delta, d *configuration.Document) error {
	if c.file == nil || c.deltas > max(c.whole, leastDeltas) {
		return c.Replace(d)
	}
	raw := c.appendItem(nil, delta.Encode(), true)
	c.deltas += len(raw)
	if _, err := c.file.Write(raw); err != nil {
		c.file = nil // what is behind a torn item is not read: the next one begins a file
		return fmt.Errorf("configuration: %w", err)
	}
	if err := c.file.Sync(); err != nil {
		c.file = nil
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// Close ends the file and lets the folder go.
func (c *Configurations) Close() error {
	var err error
	if c.file != nil {
		err = c.file.Close()
	}
	return errors.Join(err, c.folder.Close())
}
