// Package middleware puts a quartzpoint gate in front of net/http handlers. A request waits for admission in its own
// goroutine. One that is rejected is answered 503 with Retry-After; one that is aborted while its handler runs on is answered
// 504.
//
// How responses are sent:
//
//   - A handler's response is buffered until its first Flush or until it passes Options.BufferBytes, and is streamed from there
//     on.
//   - A request that is aborted while its response is buffered is answered in the handler's place, and further writes of the
//     handler fail with http.ErrHandlerTimeout. A response that is aborted while it is streamed is cut off.
//   - Hijacking fails with http.ErrNotSupported.
//   - Trailers that are declared before the response is complete are sent with it; a recorded response has none.
//   - A panic of the handler ends its run with an error and is raised again.
//
// A request with an idempotency key, by default from the header Idempotency-Key, runs once within its route's dedup window. A
// duplicate gets the recorded response, or 422 where method, URI, body length or content type differ.
//
// That a caller is gone is known from the request's context.
//
// Over HTTP/1.1 the answer for a handler that runs on is complete in time; the connection ends with the handler. Over HTTP/2
// the header and the body arrive in time, and the end of the stream with the handler.
package middleware
