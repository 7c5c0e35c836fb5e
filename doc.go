// Package quartzpoint provides admission control and request scheduling inside the process that imports it. It makes
// the same decisions as the server of the same name: an adaptive limit bounds the requests in flight, further requests
// are queued by deadline, and requests that can't be finished in time are rejected at once.
//
// A Gate keeps these invariants:
//
//   - Each request that it receives gets one answer, before its deadline.
//   - A request of a Keyed route runs at most once within the route's DedupWindow, however often it is sent.
//   - After Shutdown, no request that arrives after the grace period runs, and all received requests are answered before the
//     shutdown deadline.
//   - The number of requests in flight and queued is bounded.
//
// A running function can't be stopped from outside. If it ignores its context, its request stays in flight until the
// function returns; the caller is still answered in time.
//
// The source files:
//
//	options.go      Options, their defaults and validation; optionsfile.go reads them from a file
//	memory.go       memory limit of this process, the default of Options.MemoryMB
//	request.go      Request; errors.go has the errors of requests
//	gate.go         Gate: New, Do, Shutdown and its counts
//	ticket.go       requests that run in their caller's goroutine; Ticket states the life of a request
//	execution.go    state of one request; runcontext.go has the context of its run
//	handover.go     passing a started run to the goroutine that executes it
//	call.go         calls of runs to the shared dependency
//	pool.go         worker pool and front end of the event loop; gauges.go has the readings of this process
//	state.go        directory with the state that the next process loads
package quartzpoint
