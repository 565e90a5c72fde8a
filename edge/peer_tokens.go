package edge

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
)

const (
	// peerTokenTimeout bounds the wait for a token of another host of the zone. A
	// caller waits meanwhile.
	peerTokenTimeout = 60 * clock.Millis(1)
	// maxPeerRequests is the number of requests of other hosts that are handled at
	// the same time. Further ones are dropped.
	maxPeerRequests = 64
)

// peerTokens requests tokens from other hosts of a large zone while no control
// process lends them. For each account one host of the zone, its zone lender, has the
// zone's part of the rate: the part of each single host would be too small for
// the requests that happen to reach it.
type peerTokens struct {
	view *fleetView
	// take takes a token of an account at this host for another one.
	take func(*catalog.Account) (bool, clock.Millis)
	// send sends a datagram to a host.
	send func(kind byte, payload []byte, to coordinator.Host)

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan peerLoan
	running int
}

// peerLoan is the response of a zone lender: a token, or the time until there may be
// one.
type peerLoan struct {
	ok   bool
	wait clock.Millis
}

func (p *peerTokens) run() { p.waiting = map[uint64]chan peerLoan{} }

// zoneLender returns the zone lender of an account in the local zone, and the number of
// zones that have one. It returns false in a small zone.
func (v *fleetView) zoneLender(account string) (h coordinator.Host, zones int, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := coordinator.Active(v.fleet.Hosts, v.zone)
	if len(l) <= balance.SmallZoneHosts {
		return h, 0, false
	}
	seen := map[string]bool{}
	for _, x := range v.fleet.Hosts {
		seen[x.Zone] = true
	}
	best := uint32(0)
	for _, x := range l {
		if k := balance.Key(account + "/" + x.ID); k >= best {
			h, best = x, k
		}
	}
	return h, len(seen), true
}

// request requests a token of an account from its zone lender. It returns false if the
// zone lender does not respond in time.
func (p *peerTokens) request(account string, lender coordinator.Host) (peerLoan, bool) {
	c := make(chan peerLoan, 1)
	p.mu.Lock()
	p.next++
	id := p.next
	p.waiting[id] = c
	p.mu.Unlock()
	defer p.forget(id)
	p.send(kindBorrow, append(binary.LittleEndian.AppendUint64(nil, id), account...), lender)
	t := time.NewTimer(peerTokenTimeout.Duration())
	defer t.Stop()
	select {
	case l := <-c:
		return l, true
	case <-t.C:
		return peerLoan{}, false
	}
}

func (p *peerTokens) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// receiveLoan passes a response on to the request that waits for it.
func (p *peerTokens) receiveLoan(b []byte) {
	if len(b) != 13 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.waiting[binary.LittleEndian.Uint64(b)]
	if c == nil {
		return
	}
	select {
	case c <- peerLoan{b[8] == 1, clock.Millis(binary.LittleEndian.Uint32(b[9:]))}:
	default:
		// A second copy of the response.
	}
}

// receiveRequest handles the request of another host, in the background since it
// may take a call to a control process.
func (p *peerTokens) receiveRequest(from string, b []byte) {
	if len(b) < 9 {
		return
	}
	h, a, ok := p.view.hostAndAccount(from, string(b[8:]))
	if !ok || !p.begin() {
		return
	}
	x := &peerRequest{p, h, a, [8]byte(b)}
	go x.run()
}

func (p *peerTokens) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running >= maxPeerRequests {
		return false
	}
	p.running++
	return true
}

func (p *peerTokens) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// peerRequest is the request of another host for a token.
type peerRequest struct {
	tokens  *peerTokens
	host    coordinator.Host
	account *catalog.Account
	id      [8]byte
}

func (x *peerRequest) run() {
	defer x.tokens.end()
	ok, wait := x.tokens.take(x.account)
	b := append(x.id[:], 0)
	if ok {
		b[8] = 1
	}
	x.tokens.send(kindLent, binary.LittleEndian.AppendUint32(b, uint32(wait)), x.host)
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
