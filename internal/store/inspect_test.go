package store

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/internal/testkit/faultdisk"
	"quartzpoint/recovery"
)

// Operators' scripts read the JSON of a report, so its member names must stay when the fields are renamed.
func TestReportMemberNames(t *testing.T) {
	w := newTestWriter(faultdisk.New(), 0)
	_, err := w.restart()
	require.NoError(t, err)
	w.appendRecord(recovery.KeyEntry{Key: "pay\x00k", ExpiresAt: w.now.SinceBoot + time.Hour, Served: true, Result: []byte("r")}, true, w.now.SinceBoot)
	require.NoError(t, w.commit())
	require.NoError(t, w.estimatesJob(numberedSnapshot(1))())
	disk := w.dir.(*faultdisk.Disk)
	disk.Put(fileName(logPrefix, 900), []byte("damaged"))
	report, err := Inspect(disk, w.environment(), w.maxBytes)
	require.NoError(t, err)
	raw, err := json.Marshal(report)
	require.NoError(t, err)
	var members map[string]any
	require.NoError(t, json.Unmarshal(raw, &members))
	names := func(value any) (names []string) {
		for name := range value.(map[string]any) {
			names = append(names, name)
		}
		return names
	}
	first := func(name string) any { return members[name].([]any)[0] }
	assert.ElementsMatch(t, []string{"files", "notes", "numbers", "unknown", "view", "learned", "bytes"}, names(members))
	assert.ElementsMatch(t, []string{"name", "bytes", "header", "records", "whole"}, names(first("files")))
	assert.ElementsMatch(t, []string{"version", "content", "site", "terms", "at", "id", "place"}, names(first("files").(map[string]any)["header"]))
	assert.ElementsMatch(t, []string{"wall", "up", "boot", "machine"}, names(first("files").(map[string]any)["header"].(map[string]any)["at"]))
	assert.Equal(t, map[string]any{"Name": "log-0000000000000384", "Why": "no whole header"}, first("notes"))
	assert.ElementsMatch(t, []string{"type", "number", "left", "honoured", "result"}, names(first("numbers")))
}
