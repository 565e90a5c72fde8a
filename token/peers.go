package token

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
	// peerTimeout bounds the wait for a token of another host of the zone. A caller
	// waits meanwhile.
	peerTimeout = 60 * clock.Millis(1)
	// maxPeerRequests is the number of requests of other hosts that are handled at
	// the same time. Further ones are dropped.
	maxPeerRequests = 64
)

// Peers requests tokens from other hosts of a large zone while no control
// process lends them. For each account one host of the zone, its zone lender, has the
// zone's part of the rate: the part of each single host would be too small for
// the requests that happen to reach it. The fields must be set before Run; it may then be
// used from several goroutines.
type Peers struct {
	// Find returns a host and an account by their names, false if one is not known.
	Find func(host, account string) (coordinator.Host, *catalog.Account, bool)
	// Take takes a token of an account at this host for another one.
	Take func(*catalog.Account) (bool, clock.Millis)
	// SendRequest and SendLoan send a datagram to a host, which passes it to
	// ReceiveRequest or ReceiveLoan. Datagrams may be lost.
	SendRequest, SendLoan func(payload []byte, to coordinator.Host)

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan Loan
	running int
}

// Loan is the response of a zone lender: a token, or the time until there may be one.
type Loan struct {
	OK   bool
	Wait clock.Millis
}

// Run initializes the peers.
func (p *Peers) Run() { p.waiting = map[uint64]chan Loan{} }

// ZoneLender returns the zone lender of an account among the hosts of a zone, and the
// number of zones that have one. It returns false in a small zone.
func ZoneLender(hosts []coordinator.Host, zone, account string) (h coordinator.Host, zones int, ok bool) {
	l := coordinator.Active(hosts, zone)
	if len(l) <= balance.SmallZoneHosts {
		return h, 0, false
	}
	seen := map[string]bool{}
	for _, x := range hosts {
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

// Request requests a token of an account from its zone lender. It returns false if the
// zone lender does not respond within 60 ms.
func (p *Peers) Request(account string, lender coordinator.Host) (Loan, bool) {
	c := make(chan Loan, 1)
	p.mu.Lock()
	p.next++
	id := p.next
	p.waiting[id] = c
	p.mu.Unlock()
	defer p.forget(id)
	p.SendRequest(append(binary.LittleEndian.AppendUint64(nil, id), account...), lender)
	t := time.NewTimer(peerTimeout.Duration())
	defer t.Stop()
	select {
	case l := <-c:
		return l, true
	case <-t.C:
		return Loan{}, false
	}
}

func (p *Peers) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// ReceiveLoan passes a response on to the request that waits for it. It drops what is
// damaged or late.
func (p *Peers) ReceiveLoan(b []byte) {
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
	case c <- Loan{b[8] == 1, clock.Millis(binary.LittleEndian.Uint32(b[9:]))}:
	default:
		// A second copy of the response.
	}
}

// ReceiveRequest handles the request of another host, in the background since it
// may take a call to a control process. It drops what is damaged, and requests of unknown
// hosts or for unknown accounts.
func (p *Peers) ReceiveRequest(from string, b []byte) {
	if len(b) < 9 {
		return
	}
	h, a, ok := p.Find(from, string(b[8:]))
	if !ok || !p.begin() {
		return
	}
	x := &peerRequest{p, h, a, [8]byte(b)}
	go x.run()
}

func (p *Peers) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running >= maxPeerRequests {
		return false
	}
	p.running++
	return true
}

func (p *Peers) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// peerRequest is the request of another host for a token.
type peerRequest struct {
	peers   *Peers
	host    coordinator.Host
	account *catalog.Account
	id      [8]byte
}

func (x *peerRequest) run() {
	defer x.peers.end()
	ok, wait := x.peers.Take(x.account)
	b := append(x.id[:], 0)
	if ok {
		b[8] = 1
	}
	x.peers.SendLoan(binary.LittleEndian.AppendUint32(b, uint32(wait)), x.host)
}
