// Package quartzpoint admits, runs and rejects requests inside the process that imports it, by the same decisions as the
// server of the same name: requests in flight stay under a limit that adapts, the rest queue by deadline, and what can't be
// done in time is rejected at once.
//
// A Gate keeps these invariants:
//
//   - Each request that it receives gets one answer, before its deadline.
//   - A request with an idempotency key runs once within its route's DedupWindow, however often it is sent.
//   - After Shutdown, no request that arrives past the grace runs, and all that were received are answered before the stop.
//   - What is in flight and queued stays within bounds.
//
// A function that runs can't be stopped from outside. One that ignores its context is in flight until it returns, while its
// caller is answered in time.
//
// Where each part stands:
//
//	options.go      Options, their defaults and checks; optionsfile.go reads them from a file
//	request.go      Request; errors.go has the errors of requests
//	gate.go         Gate: New, Do, Shutdown and what it reports
//	ticket.go       requests that run in their caller's own goroutine
//	execution.go    a request from its arrival until nothing refers to it; runcontext.go has the context of its run
//	call.go         calls of runs to the shared dependency
//	pool.go         the gate as worker pool and frontend of the event loop; gauges.go has the readings of this process
//	state.go        the directory that the next process starts from
package quartzpoint
