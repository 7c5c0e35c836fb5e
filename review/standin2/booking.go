//go:build review2

package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// lostBooking books with idempotency keys. With the trouble the work on a booking is 7.5 times slower than usual, so that
// its time ends first. A caller who is told that its booking was aborted asks again with the same key, as the page says.
func lostBooking(s *scene) (bool, error) {
	app, address, err := startLibraryApp(s)
	if err != nil {
		return false, err
	}
	defer app.kill()
	work := 100 * time.Millisecond
	if s.trouble {
		work = 750 * time.Millisecond
	}
	kept := true
	for i := range 10 {
		key := fmt.Sprintf("booking-%d", i)
		ask := func() (*http.Response, string, error) {
			request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/bookings?work=%v", address, work), http.NoBody)
			if err != nil {
				return nil, "", err
			}
			request.Header.Set("Idempotency-Key", key)
			reply, err := http.DefaultClient.Do(request)
			if err != nil {
				return nil, "", err
			}
			defer reply.Body.Close()
			body, err := io.ReadAll(reply.Body)
			return reply, string(body), err
		}
		for try := 1; try <= 3; try++ {
			reply, body, err := ask()
			if err != nil {
				return false, err
			}
			_, done := get(address, "/made?key="+key, time.Second)
			s.rec.printf("%s, try %d: status %d, %q, replayed: %q; the booking is made: %s", key, try, reply.StatusCode, body,
				reply.Header.Get("Idempotent-Replayed"), done)
			if reply.StatusCode == http.StatusOK {
				if done != "true" {
					s.rec.printf("the caller was told that it is served, and no run made the booking")
					kept = false
				}
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	_, health := get(address, "/health", time.Second)
	s.rec.printf("%s", health)
	s.rec.printf("log of the program:\n%s", tail(app.log, 6))
	return kept, nil
}
