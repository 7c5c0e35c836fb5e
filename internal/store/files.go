package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"quartzpoint/internal/datadir"
	"quartzpoint/recovery"
)

// A file name consists of a prefix for the content type and a sequence number, so that the order of files is known
// before they are read.
const (
	estimatesPrefix  = "view-"
	tablePrefix      = "table-"
	logPrefix        = "log-"
	quarantinePrefix = "aside-"
	temporaryPrefix  = "temp-" // of a file that is being written
)

const (
	// maxFiles is the maximum number of state files; a directory with more is not read. A server never leaves that many.
	maxFiles       = 256
	sequenceDigits = 16
)

var errNotRegular = errors.New("no regular file")

func fileName(prefix string, sequence uint64) string { return fmt.Sprintf("%s%016x", prefix, sequence) }

// parseFileName returns the sequence number in a file name. ok is false if the name does not have the format of files
// with the prefix.
func parseFileName(prefix, name string) (sequence uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) < sequenceDigits {
		return 0, false
	}
	n, err := fmt.Sscanf(digits[:sequenceDigits], "%x", &sequence)
	return sequence, n == 1 && err == nil && (prefix == quarantinePrefix || len(digits) == sequenceDigits)
}

// sortedFiles returns the names of the regular files that have the prefix, sorted by sequence number.
func sortedFiles(entries []datadir.Entry, prefix string) (names []string) {
	for _, e := range entries {
		if _, ok := parseFileName(prefix, e.Name); ok && e.Regular {
			names = append(names, e.Name)
		}
	}
	slices.Sort(names)
	return names
}

// readFiles reads the state files of a directory, and those with idempotency keys only if withKeys is set. A file that
// is larger than maxBytes or is not a regular file is returned with Err set.
func readFiles(dir datadir.Dir, maxBytes int64, withKeys bool) (files []recovery.File, err error) {
	entries, err := dir.List()
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if !isStateFile(e.Name, withKeys) {
			continue
		}
		if len(files) == maxFiles {
			return nil, fmt.Errorf("directory has more than %d state files", maxFiles)
		}
		if !e.Regular {
			files = append(files, recovery.File{Name: e.Name, Err: errNotRegular})
			continue
		}
		raw, err := dir.Read(e.Name, maxBytes)
		if errors.Is(err, datadir.ErrTooLarge) {
			files = append(files, recovery.File{Name: e.Name, Err: err})
			continue
		}
		if err != nil {
			return nil, err
		}
		files = append(files, parseFile(e.Name, raw))
	}
	return files, nil
}

func isStateFile(name string, withKeys bool) bool {
	if _, ok := parseFileName(estimatesPrefix, name); ok {
		return true
	}
	_, isTable := parseFileName(tablePrefix, name)
	_, isLog := parseFileName(logPrefix, name)
	return withKeys && (isTable || isLog)
}
