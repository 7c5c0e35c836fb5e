// Package admission decides, for one server, what becomes of each request that reaches it: whether it runs now, waits, is
// rejected or is aborted, and when its calls to the shared dependency are made.
//
// It is pure: no I/O, no clock, no goroutine. A program hands a Controller one Round after the other, each with a moment and
// all that happened up to it, and carries out what the Controller tells its Executor. The same settings, seed and rounds give
// the same decisions. Times are durations since an epoch of the program's choosing, on a clock that never steps.
//
// Where each rule stands:
//
//	limit.go         how many requests run at once: the in-flight limit of docs/design.md
//	admit.go         whether the first queued request may start: limit, concurrency, memory, reads
//	queue.go         the queue by deadline; arrival, cancellation and expiry
//	shed.go          which queued requests are rejected because they can't be served in time, and the value of each
//	shedlevel.go     the level that asks callers to send less
//	reject.go        rejecting, aborting and stopping; how long a caller is asked to stay away
//	calls.go         when a call to the shared dependency is made, and for how long it is waited for
//	callcapacity.go  how many calls this server may have in progress
//	slowstart.go     speed after a cold start, and how much concurrency the server survives
//	drain.go         graceful shutdown
//	health.go        a server whose runs fail ejects itself
//	idle.go          when idle connections are closed
//	work.go          how much core time a request is expected to take
//	peers.go         estimates received from other servers, and those given to them
package admission
