package frontend

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/carawayrack/carawayrack/apikey"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/placement"
)

// Addresses is the response to a caller's request for the addresses of hosts.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	// Hold is the time in milliseconds for which a caller may cache the
	// response.
	Hold    clock.Millis `json:"holdMillis"`
	Version uint64       `json:"version"`
}

// Address is the address at which a host serves callers.
type Address struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// addressCount is the maximum number of hosts in a response.
const addressCount = 3

// addresses responds with a few hosts, in different zones if there are enough,
// those of the zone in the query first. Members of the group of the account's
// shard are preferred, since its leaseholder lends the account's tokens.
func (f *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	s := f.Config()
	account := ""
	if key, ok := apikey.Bearer(r.Header); ok {
		if k, x := s.Authenticate(key); x == nil {
			account = k.Account
		}
	}
	a := Addresses{Hold: f.AddressHold, Version: s.Version}
	for _, id := range f.chooseHosts(s, account, r.URL.Query().Get("zone")) {
		h := s.Hosts[id]
		a.Addresses = append(a.Addresses, Address{h.Callers, h.Zone})
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(a)
}

// chooseHosts returns the IDs of up to addressCount hosts, those of zone first.
// It computes the group of the account's shard from only the hosts that were
// seen recently, are not stopping and are not in an evacuated zone, so other
// hosts take the places of unusable members.
func (f *Handler) chooseHosts(s *config.State, account, zone string) []string {
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

// otherAddresses returns the addresses of other hosts that can serve the
// account. They are sent with a refusal.
func (f *Handler) otherAddresses(account string) []string {
	s := f.Config()
	var l []string
	for _, id := range f.chooseHosts(s, account, f.Zone) {
		if id != f.Host {
			l = append(l, s.Hosts[id].Callers)
		}
	}
	return l
}
