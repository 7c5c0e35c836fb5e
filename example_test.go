package quartzpoint_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quartzpoint"
)

func ExampleGate_Do() {
	gate, err := quartzpoint.New(quartzpoint.Options{
		Routes: []quartzpoint.Route{{Name: "slot-check", LatencyTarget: 300 * time.Millisecond}},
	})
	if err != nil {
		panic(err)
	}
	defer func() { _ = gate.Shutdown(context.Background()) }() // returns nil once all requests are answered
	err = gate.Do(context.Background(), quartzpoint.Request{Route: "slot-check"}, func(context.Context) error {
		fmt.Println("running")
		return nil
	})
	var rejected *quartzpoint.RejectedError
	switch {
	case errors.As(err, &rejected):
		fmt.Println("rejected, retry after", rejected.RetryAfter)
	case err != nil:
		fmt.Println("failed:", err)
	}
	// Output: running
}
