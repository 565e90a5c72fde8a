package edge

import (
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/token"
)

// zoneLender returns the zone lender of an account in the local zone, and the number of
// zones that have one. It returns false in a small zone.
func (v *fleetView) zoneLender(account string) (h coordinator.Host, zones int, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return token.ZoneLender(v.fleet.Hosts, v.zone, account)
}

// hostAndAccount returns a host and an account by their names.
func (v *fleetView) hostAndAccount(host, account string) (coordinator.Host, *catalog.Account, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config == nil {
		return coordinator.Host{}, nil, false
	}
	a := v.config.Account(account)
	for _, h := range v.fleet.Hosts {
		if h.ID == host {
			return h, a, a != nil
		}
	}
	return coordinator.Host{}, nil, false
}

// sendTokenRequest sends a request for a token to a zone lender.
func (g *gossip) sendTokenRequest(payload []byte, to coordinator.Host) {
	g.sendTo(kindBorrow, payload, to)
}

// sendTokenLoan sends the response of a zone lender.
func (g *gossip) sendTokenLoan(payload []byte, to coordinator.Host) {
	g.sendTo(kindLent, payload, to)
}
