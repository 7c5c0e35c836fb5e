package store

import (
	"errors"
	"testing"

	"quartzpoint/internal/testkit/faultdisk"
	"quartzpoint/recovery"
)

// For a file of arbitrary bytes, reading must end and return no more records than fit into the bytes.
func FuzzRead(f *testing.F) {
	dir := faultdisk.New()
	w := newTestWriter(dir, 0)
	if _, err := w.restart(); err != nil {
		f.Fatal(err)
	}
	w.appendRecord(recovery.KeyEntry{Key: "pay", ExpiresAt: w.now.SinceBoot + window, Served: true, Result: []byte("r")}, true, w.now.SinceBoot)
	if err := errors.Join(w.commit(), w.estimatesJob(numberedSnapshot(1))(), w.keyTableJob()()); err != nil {
		f.Fatal(err)
	}
	for _, name := range dir.Names() {
		f.Add(dir.Get(name))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		file := parseFile("x", raw)
		if n := len(file.Records) + len(file.Salvaged); n*frameHeaderBytes > len(raw) {
			t.Fatalf("%d records in %d bytes", n, len(raw))
		}
		recovery.NewPlan([]recovery.File{file}, w.environment())
	})
}
