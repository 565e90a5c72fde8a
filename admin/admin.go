// Package admin serves the state, metrics and profiles of a process over HTTP.
// Requests must present the fleet's secret as a bearer token.
package admin

import (
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/refusal"
)

const readHeaderTimeout = 5 * time.Second

// Server is the administration interface of a process. Run starts it.
type Server struct {
	// Addr is the address to listen on.
	Addr string
	// Secret is the fleet's shared secret.
	Secret string
	Log    *zap.Logger
	// Dump returns the state of the process, which is sent as JSON.
	Dump func() any
	// Handlers holds the handlers of further paths, by ServeMux pattern.
	Handlers map[string]http.HandlerFunc

	http *http.Server
}

// Run listens on Addr and serves in the background until Close. The error is that
// of listening.
func (s *Server) Run() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", s.serveState)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	for pattern, handler := range s.Handlers {
		mux.HandleFunc(pattern, handler)
	}
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return errors.Wrap(err, "admin.Run")
	}
	s.http = &http.Server{Handler: s.authenticate(mux), ReadHeaderTimeout: readHeaderTimeout}
	go s.run(l)
	return nil
}

func (s *Server) run(l net.Listener) {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.Log.Error("administration interface stopped", zap.Error(err))
	}
}

// authenticate refuses requests without the fleet's secret.
func (s *Server) authenticate(h http.Handler) http.Handler {
	f := func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.Secret)) != 1 {
			refusal.New(refusal.Unauthorized, "the fleet's secret is required").Write(w)
			return
		}
		h.ServeHTTP(w, r)
	}
	return http.HandlerFunc(f)
}

func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	// The operator may have closed the connection.
	_ = e.Encode(s.Dump())
}

// Close stops the server and closes its connections.
func (s *Server) Close() { _ = s.http.Close() }
