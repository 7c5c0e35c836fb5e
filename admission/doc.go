// Package admission makes the admission decisions of one server: whether each request starts now, is queued, is
// rejected or is aborted, and when its calls to the shared dependency are made.
//
// It is pure: it does no I/O, reads no clock and starts no goroutine. A program passes a sequence of Rounds to a
// Controller, each with a time and all events up to that time, and the Controller passes its decisions to an Executor,
// which carries them out. The same settings, seed and rounds give the same decisions. Times are durations since an
// epoch that the program chooses, on a monotonic clock.
//
// The rules by file:
//
//	limit.go         how many requests are in flight at once: the in-flight limit of docs/design.md
//	admit.go         whether the first queued request may start: limit, concurrency, memory, reads of requests, trial
//	queue.go         the queue by deadline; arrival, cancellation and expiry
//	shed.go          which queued requests are rejected because they can't be served in time, and the value of each
//	shedlevel.go     the level that asks callers to send less
//	reject.go        rejecting, aborting and stopping; the Retry-After advice
//	calls.go         when a call to the shared dependency is made, and its timeout
//	callcapacity.go  how many calls this server may have in progress
//	slowstart.go     speed after a cold start, and the concurrency that the server survives
//	trial.go         how the server detects that a fault which made runs slow has ended
//	drain.go         graceful shutdown
//	health.go        a server whose runs fail ejects itself
//	idle.go          when idle connections are closed
//	work.go          how much core time a request is expected to take
//	peers.go         estimates received from peers, and those published to them
package admission
