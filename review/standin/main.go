//go:build review

// Command standin plays the cases of the independent review: it starts the project's programs as processes, and acts
// as their routers, worker pool, membership service and network.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"regexp"
)

var cases = map[string]func(*world) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	w := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	code := 2
	func() {
		defer func() {
			if failure := recover(); failure != nil {
				w.verdict("the case could not run: %v", failure)
				for _, p := range w.procs {
					w.keepLog(p, regexp.MustCompile(`.`))
				}
			}
			w.close()
		}()
		if cases[os.Args[1]](w) {
			code = 1
		} else {
			code = 0
		}
	}()
	os.Exit(code)
}
