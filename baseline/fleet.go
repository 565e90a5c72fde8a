// Package baseline holds simple fleets to compare carawayrack with: their hosts
// don't coordinate, and each has a static share of each account's rate and burst.
package baseline

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/frontend"
	"github.com/carawayrack/carawayrack/operator"
	"github.com/carawayrack/carawayrack/slots"
)

// Choice is the algorithm by which a host picks a target.
type Choice string

// The choices.
const (
	// Random picks a target at random, without a limit on its requests in
	// flight.
	Random Choice = "random"
	// TwoChoices picks the one of two random targets that has fewer requests in
	// flight from this host, and sends it no more at a time than it has slots.
	TwoChoices Choice = "twoChoices"
)

// Fleet runs several hosts in this process. Admin is the address to which
// targets send their announcements, set by Run.
type Fleet struct {
	Hosts  int
	Zones  int
	Choice Choice
	// Configuration holds accounts, services and routes. Keys maps keys to
	// account names.
	Configuration *operator.Configuration
	Keys          map[string]string

	mu        sync.Mutex
	targets   map[string]slots.Announcement
	evacuated map[string]bool
	hosts     []*host
	admin     *http.Server
	Admin     string
}

// addressHoldMillis is the time for which callers use addresses, in milliseconds.
const addressHoldMillis = 5000

// Run starts the hosts. It returns an error if no port can be listened on.
func (f *Fleet) Run() error {
	f.targets = map[string]slots.Announcement{}
	f.evacuated = map[string]bool{}
	m := http.NewServeMux()
	m.HandleFunc("PUT /targets/{name}", f.announce)
	a, s, err := serve(m)
	if err != nil {
		return err
	}
	f.Admin, f.admin = a, s
	for i := 0; i < f.Hosts; i++ {
		h := newHost(f)
		h.addr, h.server, err = serve(h)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	return nil
}

// httpServer runs an HTTP server in the background.
type httpServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *httpServer) run() {
	// Serve returns an error when the server is closed.
	_ = s.server.Serve(s.listener)
}

func serve(h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "baseline.serve")
	}
	s := &httpServer{&http.Server{Handler: h}, l}
	go s.run()
	return l.Addr().String(), s.server, nil
}

func (f *Fleet) announce(w http.ResponseWriter, r *http.Request) {
	var a slots.Announcement
	if json.NewDecoder(r.Body).Decode(&a) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	f.targets[a.Target] = a
	f.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// SetZoneEvacuated evacuates a zone or restores it.
func (f *Fleet) SetZoneEvacuated(zone string, evacuated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated[zone] = evacuated
}

// usable returns the targets of a service that are neither leaving nor in an
// evacuated zone.
func (f *Fleet) usable(service string) []slots.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []slots.Announcement
	for _, a := range f.targets {
		if a.Service == service && a.State != slots.Leaving && !f.evacuated[a.Zone] {
			l = append(l, a)
		}
	}
	return l
}

// Callers returns the addresses at which the hosts serve callers.
func (f *Fleet) Callers() []string {
	var l []string
	for _, h := range f.hosts {
		l = append(l, h.addr)
	}
	return l
}

func (f *Fleet) addresses(w http.ResponseWriter) {
	a := frontend.Addresses{Hold: addressHoldMillis}
	l := f.Callers()
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	for _, x := range l {
		a.Addresses = append(a.Addresses, frontend.Address{Address: x})
	}
	// The caller may have closed the connection.
	_ = json.NewEncoder(w).Encode(a)
}

// Close stops the hosts.
func (f *Fleet) Close() {
	_ = f.admin.Close()
	for _, h := range f.hosts {
		_ = h.server.Close()
		h.client.CloseIdleConnections()
	}
}
