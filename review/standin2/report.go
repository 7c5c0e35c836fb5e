//go:build review2

package main

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const reportLines = 10

// cutReport asks for reports that are streamed. With the trouble the work on them is 7.5 times slower than usual, so
// that their time ends while they are streamed.
func cutReport(s *scene) (bool, error) {
	app, address, err := startLibraryApp(s)
	if err != nil {
		return false, err
	}
	defer app.kill()
	work := "40ms"
	if s.trouble {
		work = "300ms"
	}
	kept := true
	for i := range 8 {
		began := time.Now()
		reply, err := http.Get("http://" + address + "/report?work=" + work)
		if err != nil {
			s.rec.printf("report %d: %v", i+1, err)
			continue
		}
		body, err := io.ReadAll(reply.Body)
		_ = reply.Body.Close()
		lines := strings.Count(string(body), "\n")
		s.rec.printf("report %d, work %s a line: status %d after %v, %d of %d lines, end of the response: %s", i+1, work, reply.StatusCode,
			time.Since(began).Round(time.Millisecond), lines, reportLines, endOf(err))
		if reply.StatusCode == http.StatusOK && err == nil && lines < reportLines {
			s.rec.printf("its caller has a part of the report and can't tell it from the whole")
			kept = false
		}
	}
	_, health := get(address, "/health", time.Second)
	s.rec.printf("%s", health)
	s.rec.printf("log of the program:\n%s", tail(app.log, 6))
	return kept, nil
}

func endOf(err error) string {
	if err != nil {
		return "cut off, " + err.Error()
	}
	return "complete"
}
