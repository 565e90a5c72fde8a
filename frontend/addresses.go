package frontend

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/placement"
)

// Addresses answers callers who ask which hosts to use.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	// Hold is the time for which the answer may be kept.
	Hold    clock.Millis `json:"holdMillis"`
	Version uint64       `json:"version"`
}

// Address is one host for callers.
type Address struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// addressCount is the number of hosts in an answer, in different zones.
const addressCount = 3

// addresses leads each account to a few hosts in different zones, its own
// zone first: the members of the account's group, where its tokens are kept.
func (f *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	s := f.Config()
	account := ""
	if k, x := s.Authenticate(bearer(r)); x == nil {
		account = k.Account
	}
	a := Addresses{Hold: f.AddressHold, Version: s.Version}
	for _, id := range f.steer(s, account, r.URL.Query().Get("zone")) {
		h := s.Hosts[id]
		a.Addresses = append(a.Addresses, Address{h.Callers, h.Zone})
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller may have gone away.
	_ = json.NewEncoder(w).Encode(a)
}

func (f *Handler) steer(s *config.State, account, zone string) []string {
	alive := f.Alive()
	usable := map[string]config.Host{}
	for id, h := range s.Hosts {
		if g, ok := alive[id]; ok && !g.Stopping && !s.Zones[h.Zone].Evacuated {
			usable[id] = h
		}
	}
	l := placement.Group(usable, placement.AccountShard(account))
	l = l[:min(addressCount, len(l))]
	sort.SliceStable(l, func(i, j int) bool {
		return usable[l[i]].Zone == zone && usable[l[j]].Zone != zone
	})
	return l
}

// others returns the addresses of other hosts for a refusal.
func (f *Handler) others(account string) []string {
	s := f.Config()
	var l []string
	for _, id := range f.steer(s, account, f.Zone) {
		if id != f.Host {
			l = append(l, s.Hosts[id].Callers)
		}
	}
	return l
}
