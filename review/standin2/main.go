//go:build review2

// Command review2 holds the stand-ins of the second review and plays its cases. Each case starts the project's programs
// as processes, by the commands of the deploy file, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// scene is what a case plays in.
type scene struct {
	rec     *record
	dir     string // temporary
	trouble bool
}

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	noRun   = 2
	argsLen = 3
)

var cases = map[string]func(*scene) (bool, error){
	"gone-callers": goneCallers, "composed-crash": composedCrash, "tenant-keys": tenantKeys, "cut-report": cutReport,
	"slow-store": slowStore, "lost-booking": lostBooking,
}

func main() {
	if len(os.Args) == argsLen && os.Args[1] == "library-app" {
		if err := libraryApp(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) != argsLen || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "review2 CASE FOLDER")
		os.Exit(noRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(c func(*scene) (bool, error), folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	defer os.RemoveAll(dir)
	s := &scene{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	rec.printf("trouble: %t", s.trouble)
	kept, err := c(s)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return noRun
	case kept:
		rec.printf("the rule held")
		return held
	}
	rec.printf("THE RULE WAS BROKEN")
	return broken
}
