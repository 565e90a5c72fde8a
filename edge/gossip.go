package edge

import (
	"crypto/sha256"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/balance"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/coordinator"
	"github.com/carawayrack/carawayrack/poison"
	"github.com/carawayrack/carawayrack/token"
)

// The kinds of datagrams.
const (
	// kindChanges datagrams hold the observations that have changed.
	kindChanges = iota
	// kindDigest datagrams hold observations of all serving targets of the
	// sender's zone, for other zones, or of all that the sender owns first, for
	// the local zone, or what a relay has received from other zones. Those for the
	// local zone also hold the sender's counts of ended requests.
	kindDigest
	// kindCrash datagrams report that a target crashed while it ran a request,
	// or that a suspected request was answered.
	kindCrash
	// kindRelay datagrams hold changes that the receiver passes on to the hosts of
	// its zone.
	kindRelay
	// kindBorrow datagrams request a token from a zone lender, kindLent ones respond.
	kindBorrow
	kindLent
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
	// readRetryDelay is the time after a failed read of a datagram until the next one.
	readRetryDelay = 100 * clock.Millis(1)
)

// gossip sends the host's observations of targets to other hosts as UDP
// datagrams. The owners of a target get every change. Health changes go to the
// hosts of the local zone; in a fleet of up to maxBroadcastHosts, each failure
// and each probe goes to all hosts. Other zones get further observations from
// one host of a small zone, or from the first owner of a target by way of a few
// hosts of each zone that pass them on.
type gossip struct {
	settings Settings
	clock    clock.Clock
	log      *zap.Logger
	view     *fleetView
	metrics  *metrics
	poison   *poison.Detector
	// peerTokens handles requests of other hosts for tokens.
	peerTokens *token.Peers

	conn *net.UDPConn
	// tag is the start of the SHA-256 sum of the secret; datagrams without it
	// are dropped.
	tag [tagSize]byte
	// transmit sends a datagram to an address.
	transmit func(payload []byte, addr string)
	relay    relay
	// rounds counts the reports to other zones.
	rounds int
	// budgetMu guards broadcasts, the budget of health changes sent to the hosts of
	// a large zone.
	budgetMu   sync.Mutex
	broadcasts byteBudget
	outcomes   outcomeReports
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
	g.transmit = g.transmitUDP
	g.dirty = make(chan struct{}, 1)
	go g.receiveLoop()
	go g.loop()
	go g.digestLoop()
	go g.relayLoop()
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
		g.sendDigest()
	}
}

// sendDigest sends a digest to the hosts of the local zone, or of the others if
// the local zone is small, and health changes to the relays of other zones. The
// hosts of the local zone get the counts of ended requests in any case.
func (g *gossip) sendDigest() {
	l := g.view.activeHosts(false)
	now := g.clock.Now()
	if len(l) > balance.SmallZoneHosts {
		o := g.view.firstOwned(now)
		g.send(kindDigest, append(o, g.takeOutcomes(now, l, len(o) == 0)...), l)
		g.rounds++
		g.send(kindRelay, g.view.takeHealthChanges(now), relayFor(g.view.otherZones(), g.settings.ID, g.rounds))
		return
	}
	g.send(kindDigest, g.takeOutcomes(now, l, true), l)
	if len(l) > 0 && l[0].ID == g.settings.ID {
		g.send(kindDigest, g.view.digest(now), g.view.otherZones())
	}
}

func (g *gossip) relayLoop() {
	for {
		time.Sleep(relayInterval.Duration())
		g.sendRelayed()
	}
}

// sendRelayed passes on what other zones have reported.
func (g *gossip) sendRelayed() {
	now := g.clock.Now()
	n := 0
	for _, b := range pack(g.relay.take(now)) {
		n += g.sendDatagram(kindDigest, b, g.view.activeHosts(false))
	}
	if n > 0 {
		g.relay.sent(now, n)
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
		if !g.spendBroadcast(len(l)) {
			// The hosts learn of it from the next digest of the first owner.
			return
		}
	}
	if e, ok := g.view.observationOf(g.clock.Now(), service, id); ok {
		g.send(kindChanges, []balance.Observation{e}, l)
	}
}

const (
	// broadcastBudget is the number of bytes a second for health changes sent to
	// the hosts of a large zone, broadcastDepth that sent at once.
	broadcastBudget = 10_000
	broadcastDepth  = 12_000
	// observationDatagram is the size of a datagram with one observation, with a
	// usual length of a host's ID.
	observationDatagram = 80
)

// spendBroadcast takes a broadcast to a number of hosts from the budget.
func (g *gossip) spendBroadcast(hosts int) bool {
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	g.broadcasts.rate, g.broadcasts.depth = broadcastBudget, broadcastDepth
	return g.broadcasts.spend(g.clock.Now(), hosts*observationDatagram)
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

// sendDatagram sends one datagram to each of the hosts but this one. It returns
// the number of bytes sent.
func (g *gossip) sendDatagram(kind byte, payload []byte, to []coordinator.Host) int {
	b := append(make([]byte, 0, maxDatagram), g.tag[:]...)
	b = append(b, kind, byte(len(g.settings.ID)))
	b = append(b, g.settings.ID...)
	b = append(b, payload...)
	n := 0
	for _, h := range to {
		if h.ID == g.settings.ID {
			continue
		}
		n += len(b) + datagramHeader
		g.metrics.countBytes(h.Zone != g.settings.Zone, "Evidence", len(b)+datagramHeader)
		g.transmit(b, h.Peer)
	}
	return n
}

// sendTo sends one datagram to one host.
func (g *gossip) sendTo(kind byte, payload []byte, to coordinator.Host) {
	g.sendDatagram(kind, payload, []coordinator.Host{to})
}

func (g *gossip) transmitUDP(b []byte, addr string) {
	a, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		g.log.Warn("cannot resolve the address of a host", zap.String("address", addr), zap.Error(err))
		return
	}
	// Lost observations are replaced by later ones.
	_, _ = g.conn.WriteToUDP(b, a)
}

func (g *gossip) receiveLoop() {
	b := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFromUDP(b)
		if err != nil {
			g.log.Warn("cannot read datagrams", zap.Error(err))
			time.Sleep(readRetryDelay.Duration())
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
	switch kind {
	case kindCrash:
		g.poison.Receive(b[k:])
		return
	case kindBorrow:
		g.peerTokens.ReceiveRequest(string(b[:k]), b[k:])
		return
	case kindLent:
		g.peerTokens.ReceiveLoan(b[k:])
		return
	}
	host, l := string(b[:k]), balance.DecodeObservations(b[k:])
	if kind == kindRelay {
		g.relay.add(g.clock.Now(), l)
	}
	g.view.merge(g.clock.Now(), kind, host, l)
}
