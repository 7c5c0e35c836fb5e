// Package middleware puts a quartzpoint gate in front of net/http handlers. A request waits for admission in its own
// goroutine. A rejected request is answered with status 503 and Retry-After; a request that is aborted while its
// handler runs is answered with 504.
//
// Responses:
//
//   - A handler's response is buffered until its first Flush or until it exceeds Options.BufferBytes; from then on it is
//     streamed.
//   - If a request is aborted while its response is buffered, the middleware answers instead of the handler. Further writes of
//     the handler fail with http.ErrHandlerTimeout, unless they are recorded for duplicates.
//   - If a request is aborted, or its handler panics, while its response is streamed, the response is cut off: the connection
//     is reset, or the stream with HTTP/2.
//   - Reads and writes of a handler that wait for its caller fail once the request is aborted.
//   - Hijacking fails with http.ErrNotSupported.
//   - Trailers that are declared before the response is complete are sent with it; a recorded response has no trailers.
//   - A panic of the handler ends the run with an error and is passed on.
//
// A request of a Keyed route needs an idempotency key, by default from the header Idempotency-Key, and runs at most once
// within the route's dedup window. A duplicate gets the recorded response, or status 422 if its method, URI, body length
// or content type differ from the original's. A handler that was aborted, and has asked for the end of its context, may have
// returned without doing its work: it has no recorded response, and its duplicates are aborted.
//
// The middleware detects from the request's context that the caller no longer waits. The handler's context ends then if the
// route is Retryable. Handlers of other routes go on.
//
// Listen bounds what the connections of an HTTP server store before the gate sees a request.
//
// With HTTP/1.1, the answer to a request whose handler continues is complete in time, and the connection closes when
// the handler returns. With HTTP/2, the header and the body arrive in time, and the stream ends when the handler
// returns.
package middleware
