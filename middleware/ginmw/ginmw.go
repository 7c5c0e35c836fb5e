// Package ginmw puts a quartzpoint gate in front of gin handlers, as package middleware does for net/http. Unless the
// options set a route, it is the request's method and the full path of the gin route.
package ginmw

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"quartzpoint"
	"quartzpoint/middleware"
)

// New returns the middleware. Register it after gin.Recovery, which then handles a handler's panic.
func New(gate *quartzpoint.Gate, options middleware.Options) gin.HandlerFunc {
	return func(c *gin.Context) {
		options := options
		if options.Route == nil {
			route := middleware.MethodName(c.Request) + " " + c.FullPath()
			options.Route = func(*http.Request) string { return route }
		}
		ginWriter, request, admitted := c.Writer, c.Request, false
		defer func() {
			c.Writer, c.Request = ginWriter, request
			if !admitted {
				c.Abort() // the request was answered without the remaining handlers
			}
		}()
		middleware.Serve(gate, options, ginWriter, request, func(w http.ResponseWriter, r *http.Request) {
			admitted = true
			inner := newWriter(w, ginWriter)
			c.Writer, c.Request = inner, r
			c.Next()
			inner.WriteHeaderNow() // gin does this for its own writer: a handler may have set a status and written nothing
		})
	}
}
