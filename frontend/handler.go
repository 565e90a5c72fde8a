// Package frontend serves callers: for each HTTP request it acquires a token
// and a slot, forwards the request to a target, and sends the response back.
package frontend

import (
	"net/http"
	"sync"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/forward"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/shardclient"
	"github.com/carawayrack/carawayrack/usage"
)

// Handler handles the requests of callers.
type Handler struct {
	Host        string
	Zone        string
	Incarnation string
	Config      func() *config.State
	// Current reports whether the configuration is proved to be fresh.
	Current func() bool
	// Alive returns the flags of the hosts that were seen recently, by ID.
	Alive    func() map[string]api.Flags
	Stopping func() bool
	Tokens   *shardclient.Tokens
	Ledger   *shardclient.Ledger
	Records  *shardclient.Records
	Pool     *forward.Pool
	Usage    *usage.Counter
	Journal  func(journal.Event)
	Log      *zap.Logger
	Clock    clock.Clock
	// AddressHold is the time for which callers may cache a response with
	// addresses.
	AddressHold clock.Millis

	mu           sync.Mutex
	calls        map[*call]bool
	retryBudgets map[string]*retryBudget
	estimates    map[string]*firstByteEstimate
}

// AddressPath is the path at which callers request the addresses of hosts.
const AddressPath = "/addresses"

// Run prepares the handler. It must be called before ServeHTTP.
func (f *Handler) Run() {
	f.calls = map[*call]bool{}
	f.retryBudgets = map[string]*retryBudget{}
	f.estimates = map[string]*firstByteEstimate{}
}

// ServeHTTP handles one request.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.Stopping() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == AddressPath {
		f.addresses(w, r)
		return
	}
	c := newCall(f, w, r)
	f.addCall(c)
	defer f.removeCall(c)
	c.run()
}

func (f *Handler) addCall(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[c] = true
}

func (f *Handler) removeCall(c *call) {
	c.cancel(nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, c)
}

// InFlight returns the number of requests in flight.
func (f *Handler) InFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

// KeyWithdrawn is the cause of cancelling requests whose API key was withdrawn.
type KeyWithdrawn struct{}

// Error describes the cause.
func (KeyWithdrawn) Error() string { return "the key was withdrawn" }

// CancelWithdrawn cancels the requests whose API key is not valid in the new
// configuration s.
func (f *Handler) CancelWithdrawn(s *config.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.calls {
		id := c.keyID.Load()
		if id == nil {
			continue
		}
		if k, ok := s.Keys[*id]; ok && !k.Withdrawn {
			continue
		}
		f.Journal(journal.Event{Kind: journal.KeyWithdrawn, Subject: c.id, Cause: "key " + *id})
		c.cancel(KeyWithdrawn{})
	}
}
