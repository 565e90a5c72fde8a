// Package baseline holds simple fleets to measure the product against: hosts
// that decide alone, with a static share of each limit.
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

// Choice is how a host picks a target.
type Choice string

// The choices.
const (
	// Random picks any target.
	Random Choice = "random"
	// TwoChoices picks the less loaded of two random targets, by what the
	// host itself has sent them, and sends it no more than its slots.
	TwoChoices Choice = "twoChoices"
)

// Fleet is a number of hosts in this process.
type Fleet struct {
	Hosts  int
	Zones  int
	Choice Choice
	// Configuration holds accounts, services and routes; Keys maps keys to
	// account names.
	Configuration *operator.Configuration
	Keys          map[string]string

	mu      sync.Mutex
	targets map[string]slots.Announcement
	out     map[string]bool
	hosts   []*host
	admin   *http.Server
	Admin   string
}

// hold is the time for which callers keep addresses, in milliseconds.
const hold = 5000

// Run starts the hosts.
func (f *Fleet) Run() error {
	f.targets = map[string]slots.Announcement{}
	f.out = map[string]bool{}
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

// server runs an HTTP server in the background.
type server struct {
	server   *http.Server
	listener net.Listener
}

func (s *server) run() {
	// The server ends when it is closed.
	_ = s.server.Serve(s.listener)
}

func serve(h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "baseline.serve")
	}
	s := &server{&http.Server{Handler: h}, l}
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

// SetZoneEvacuated takes a zone out or back.
func (f *Fleet) SetZoneEvacuated(zone string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.out[zone] = out
}

// usable returns the announced targets of a service.
func (f *Fleet) usable(service string) []slots.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []slots.Announcement
	for _, a := range f.targets {
		if a.Service == service && a.State != slots.Leaving && !f.out[a.Zone] {
			l = append(l, a)
		}
	}
	return l
}

// Callers returns the addresses of the hosts.
func (f *Fleet) Callers() []string {
	var l []string
	for _, h := range f.hosts {
		l = append(l, h.addr)
	}
	return l
}

func (f *Fleet) addresses(w http.ResponseWriter) {
	a := frontend.Addresses{Hold: hold}
	l := f.Callers()
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	for _, x := range l {
		a.Addresses = append(a.Addresses, frontend.Address{Address: x})
	}
	// The caller may have gone away.
	_ = json.NewEncoder(w).Encode(a)
}

// Close ends the hosts.
func (f *Fleet) Close() {
	_ = f.admin.Close()
	for _, h := range f.hosts {
		_ = h.server.Close()
		h.client.CloseIdleConnections()
	}
}
