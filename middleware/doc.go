// Package middleware puts a quartzpoint gate in front of net/http handlers. A request waits for admission in its own
// goroutine. A rejected request is answered with status 503 and Retry-After; a request that is aborted while its
// handler runs is answered with 504.
//
// Responses:
//
//   - A handler's response is buffered until its first Flush or until it exceeds Options.BufferBytes; from then on it is
//     streamed.
//   - If a request is aborted while its response is buffered, the middleware answers instead of the handler, and further writes
//     of the handler fail with http.ErrHandlerTimeout. If the response is being streamed, it is cut off.
//   - Hijacking fails with http.ErrNotSupported.
//   - Trailers that are declared before the response is complete are sent with it; a recorded response has no trailers.
//   - A panic of the handler ends the run with an error and is passed on.
//
// A request of a Keyed route needs an idempotency key, by default from the header Idempotency-Key, and runs at most once
// within the route's dedup window. A duplicate gets the recorded response, or status 422 if its method, URI, body length
// or content type differ from the original's.
//
// The middleware detects from the request's context that the caller no longer waits.
//
// With HTTP/1.1, the answer to a request whose handler continues is complete in time, and the connection closes when
// the handler returns. With HTTP/2, the header and the body arrive in time, and the stream ends when the handler
// returns.
package middleware
