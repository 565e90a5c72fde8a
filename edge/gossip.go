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
	// kindChanges datagrams hold the observations that have changed.
	kindChanges = iota
	// kindDigest datagrams hold observations of all serving targets of the
	// sender's zone, for other zones, or of all that the sender owns first, for
	// the local zone.
	kindDigest
	// kindCrash datagrams report that a target crashed while it ran a request,
	// or that a suspected request was answered.
	kindCrash
)

const (
	// digestInterval is the time between two digests.
	digestInterval = 1 * clock.Second
	// batchDelay is the time for which changes are collected into one datagram.
	batchDelay = 10 * clock.Millis(1)
	// maxBroadcastHosts is the number of hosts in all zones up to which each
	// failure is broadcast to all of them.
	maxBroadcastHosts = 40
	maxDatagram       = 1200
	// maxObservations is the number of observations that fit into a datagram.
	maxObservations = 100
	// datagramHeader is the size of the IP and UDP headers, in bytes.
	datagramHeader = 28
	tagSize        = 4
)

// gossip sends the host's observations of targets to other hosts as UDP
// datagrams. The owners of a target get every change. Health changes go to the
// hosts of the local zone; in a fleet of up to maxBroadcastHosts, each failure
// and each probe goes to all hosts. Other zones get further observations from
// one host of a small zone, or from the first owner of a target.
type gossip struct {
	settings Settings
	clock    clock.Clock
	log      *zap.Logger
	view     *fleetView
	metrics  *metrics
	poison   *poisonDetector

	conn *net.UDPConn
	// tag is the start of the SHA-256 sum of the secret; datagrams without it
	// are dropped.
	tag [tagSize]byte
	// dirty is signalled when there are changed observations to send.
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
	copy(g.tag[:], s[:])
	g.dirty = make(chan struct{}, 1)
	go g.receiveLoop()
	go g.loop()
	go g.digestLoop()
	return nil
}

// scheduleSend makes the loop send the changed observations to the hosts that
// need them.
func (g *gossip) scheduleSend() {
	select {
	case g.dirty <- struct{}{}:
	default:
	}
}

func (g *gossip) loop() {
	for range g.dirty {
		time.Sleep(batchDelay.Duration())
		for h, l := range g.view.takeChanges(g.clock.Now()) {
			g.send(kindChanges, l, []coordinator.Host{h})
		}
	}
}

func (g *gossip) digestLoop() {
	for {
		time.Sleep(digestInterval.Duration())
		l := g.view.activeHosts(false)
		switch {
		case len(l) > balance.SmallZoneHosts:
			g.send(kindDigest, g.view.firstOwned(g.clock.Now()), l)
			g.send(kindChanges, g.view.takeHealthChanges(g.clock.Now()), g.view.otherZones())
		case len(l) > 0 && l[0].ID == g.settings.ID:
			g.send(kindDigest, g.view.digest(g.clock.Now()), g.view.otherZones())
		}
	}
}

// broadcastHealth sends the observation of a target to other hosts at once, when
// an attempt is overdue or has ended otherwise than served, or after a probe. In
// a fleet of up to maxBroadcastHosts it sends it to all of them. In a larger one
// it sends it to the hosts of the local zone, and only if the health of the
// target has changed; the owners of the target get the other changes from the
// loop, and other zones get theirs from the first owner.
func (g *gossip) broadcastHealth(service, id string, healthChanged bool) {
	l := g.view.activeHosts(true)
	if len(l) > maxBroadcastHosts {
		g.scheduleSend()
		if !healthChanged {
			return
		}
		l = g.view.activeHosts(false)
	}
	if e, ok := g.view.observationOf(g.clock.Now(), service, id); ok {
		g.send(kindChanges, []balance.Observation{e}, l)
	}
}

// send sends observations to hosts.
func (g *gossip) send(kind byte, l []balance.Observation, to []coordinator.Host) {
	for _, b := range pack(l) {
		g.sendDatagram(kind, b, to)
	}
}

// pack encodes observations into as many datagrams as needed.
func pack(l []balance.Observation) [][]byte {
	var r [][]byte
	for len(l) > 0 {
		k := min(len(l), maxObservations)
		r = append(r, balance.EncodeObservations(nil, l[:k]))
		l = l[k:]
	}
	return r
}

// broadcastSuspicion sends a message of the poison detector to all hosts.
func (g *gossip) broadcastSuspicion(payload []byte) {
	g.sendDatagram(kindCrash, payload, g.view.activeHosts(true))
}

// sendDatagram sends one datagram to each of the hosts but this one.
func (g *gossip) sendDatagram(kind byte, payload []byte, to []coordinator.Host) {
	b := append(make([]byte, 0, maxDatagram), g.tag[:]...)
	b = append(b, kind, byte(len(g.settings.ID)))
	b = append(b, g.settings.ID...)
	b = append(b, payload...)
	for _, h := range to {
		if h.ID == g.settings.ID {
			continue
		}
		a, err := net.ResolveUDPAddr("udp4", h.Peer)
		if err != nil {
			g.log.Warn("cannot resolve the address of a host", zap.String("host", h.ID), zap.Error(err))
			continue
		}
		g.metrics.countBytes(h.Zone != g.settings.Zone, "Evidence", len(b)+datagramHeader)
		// Lost observations are replaced by later ones.
		_, _ = g.conn.WriteToUDP(b, a)
	}
}

func (g *gossip) receiveLoop() {
	b := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFromUDP(b)
		if err != nil {
			g.log.Warn("cannot read datagrams", zap.Error(err))
			time.Sleep(busyInterval.Duration())
			continue
		}
		g.receive(b[:n])
	}
}

func (g *gossip) receive(b []byte) {
	if len(b) < tagSize+2 || [tagSize]byte(b[:tagSize]) != g.tag {
		return
	}
	kind, k := b[tagSize], int(b[tagSize+1])
	b = b[tagSize+2:]
	if len(b) < k {
		return
	}
	if kind == kindCrash {
		g.poison.receive(b[k:])
		return
	}
	g.view.merge(g.clock.Now(), kind, string(b[:k]), balance.DecodeObservations(b[k:]))
}
