package edge

import (
	"crypto/sha256"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
)

// The kinds of datagrams.
const (
	// partial datagrams hold what has changed.
	partial = iota
	// digest datagrams hold all targets of the sender's zone.
	digest
	// crash datagrams tell of a request that crashes its targets.
	crash
)

const (
	// digestInterval is the pause between digests of a zone.
	digestInterval = 1 * clock.Second
	// gatherFor is the time for which changes are gathered into one datagram.
	gatherFor = 10 * clock.Millis(1)
	// farPeers is the number of hosts in all zones up to which all are told of
	// each failure.
	farPeers    = 40
	datagramMax = 1200
	// evidenceMax is the number of pieces of evidence that fit a datagram.
	evidenceMax = 100
	// datagramHeader is the size of the headers of IP and UDP, in bytes.
	datagramHeader = 28
	markSize       = 4
)

// gossip tells other hosts what this one sees of targets, as datagrams: each
// change to the target's owners, changes of trust to the zone, and in a small
// fleet to all. Other zones hear from one host of a small zone, or from the
// first owner of a target.
type gossip struct {
	settings Settings
	clock    clock.Clock
	log      *zap.Logger
	view     *view
	metrics  *metrics
	suspects *suspects

	conn  *net.UDPConn
	mark  [markSize]byte
	dirty chan struct{}
}

func (g *gossip) run() error {
	a, err := net.ResolveUDPAddr("udp4", g.settings.Peer)
	if err != nil {
		return err
	}
	if g.conn, err = net.ListenUDP("udp4", a); err != nil {
		return err
	}
	s := sha256.Sum256([]byte(g.settings.Secret))
	copy(g.mark[:], s[:])
	g.dirty = make(chan struct{}, 1)
	go g.receiveLoop()
	go g.loop()
	go g.digestLoop()
	return nil
}

// changed tells that there is something to say to the own zone.
func (g *gossip) changed() {
	select {
	case g.dirty <- struct{}{}:
	default:
	}
}

func (g *gossip) loop() {
	for range g.dirty {
		time.Sleep(gatherFor.Duration())
		for h, l := range g.view.changedEvidence(g.clock.Now()) {
			g.send(partial, l, []coordinator.Host{h})
		}
	}
}

func (g *gossip) digestLoop() {
	for {
		time.Sleep(digestInterval.Duration())
		l := g.view.peers(false)
		switch {
		case len(l) > balance.SmallZoneHosts:
			g.send(digest, g.view.owned(g.clock.Now()), l)
			g.send(partial, g.view.turned(g.clock.Now()), g.view.otherZones())
		case len(l) > 0 && l[0].ID == g.settings.ID:
			g.send(digest, g.view.digest(g.clock.Now()), g.view.otherZones())
		}
	}
}

// alarm tells all hosts at once that a target failed or recovered. Where there
// are many, only those that own the target hear of it as long as its trust has
// not changed, and those of other zones from the first owner.
func (g *gossip) alarm(service, id string, turned bool) {
	l := g.view.peers(true)
	if len(l) > farPeers {
		g.changed()
		if !turned {
			return
		}
		l = g.view.peers(false)
	}
	if e, ok := g.view.evidenceOf(g.clock.Now(), service, id); ok {
		g.send(partial, []balance.Observation{e}, l)
	}
}

// send sends evidence to hosts.
func (g *gossip) send(kind byte, l []balance.Observation, to []coordinator.Host) {
	for _, b := range pack(l) {
		g.post(kind, b, to)
	}
}

// pack encodes evidence for as many datagrams as it takes.
func pack(l []balance.Observation) [][]byte {
	var r [][]byte
	for len(l) > 0 {
		k := min(len(l), evidenceMax)
		r = append(r, balance.EncodeObservations(nil, l[:k]))
		l = l[k:]
	}
	return r
}

// suspect tells all hosts of a request that crashes its targets.
func (g *gossip) suspect(payload []byte) { g.post(crash, payload, g.view.peers(true)) }

// post sends one datagram to hosts.
func (g *gossip) post(kind byte, payload []byte, to []coordinator.Host) {
	b := append(make([]byte, 0, datagramMax), g.mark[:]...)
	b = append(b, kind, byte(len(g.settings.ID)))
	b = append(b, g.settings.ID...)
	b = append(b, payload...)
	for _, h := range to {
		if h.ID == g.settings.ID {
			continue
		}
		a, err := net.ResolveUDPAddr("udp4", h.Peer)
		if err != nil {
			g.log.Warn("host with an unusable address", zap.String("host", h.ID), zap.Error(err))
			continue
		}
		g.metrics.sent(h.Zone != g.settings.Zone, "Evidence", len(b)+datagramHeader)
		// Evidence that is lost is made up for by what comes next.
		_, _ = g.conn.WriteToUDP(b, a)
	}
}

func (g *gossip) receiveLoop() {
	b := make([]byte, datagramMax)
	for {
		n, _, err := g.conn.ReadFromUDP(b)
		if err != nil {
			g.log.Warn("datagrams cannot be read", zap.Error(err))
			time.Sleep(busyInterval.Duration())
			continue
		}
		g.receive(b[:n])
	}
}

func (g *gossip) receive(b []byte) {
	if len(b) < markSize+2 || [markSize]byte(b[:markSize]) != g.mark {
		return
	}
	kind, k := b[markSize], int(b[markSize+1])
	b = b[markSize+2:]
	if len(b) < k {
		return
	}
	if kind == crash {
		g.suspects.hear(b[k:])
		return
	}
	g.view.learn(g.clock.Now(), kind, string(b[:k]), balance.DecodeObservations(b[k:]))
}
