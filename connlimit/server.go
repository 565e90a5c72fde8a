package connlimit

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Bounds of the servers that are not for callers' requests. Their requests are
// small, but for configurations, whose handler sets a deadline of its own.
const (
	serverHeaderTimeout = 5 * time.Second
	serverReadTimeout   = 10 * time.Second
	serverWriteTimeout  = 30 * time.Second
	serverIdleTimeout   = 30 * time.Second
	// serverHeaderBytes is a common limit for the heads of requests; net/http adds
	// 4 KiB.
	serverHeaderBytes = 16 << 10
)

// Server returns a server for the connections of l with bounds on heads, times and
// idle connections.
func (l *Listener) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: &handler{h}, ConnContext: withConn, MaxHeaderBytes: serverHeaderBytes,
		ReadHeaderTimeout: serverHeaderTimeout, ReadTimeout: serverReadTimeout,
		WriteTimeout: serverWriteTimeout, IdleTimeout: serverIdleTimeout,
	}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// handler holds the connection of a request while it is served.
type handler struct{ next http.Handler }

// ServeHTTP serves one request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		c.Hold()
		defer c.Release()
		r.Body = &body{r.Body, c}
	}
	h.next.ServeHTTP(w, r)
}
