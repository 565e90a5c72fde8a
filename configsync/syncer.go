package configsync

import (
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/wire"
)

// Syncer keeps the configuration of a host up to date. It calls the control replicas
// and, by gossip, other hosts.
type Syncer struct {
	Host config.Host
	// Control are the addresses of the control replicas, Seeds those of hosts
	// for gossip before a configuration with hosts is known.
	Control []string
	Seeds   []string
	// MaxProofAge is the greatest age of a proof that the configuration is fresh.
	MaxProofAge clock.Millis
	// Interval is the time between two rounds of calls.
	Interval clock.Millis
	Pool     *wire.Pool
	Clock    clock.Clock
	Log      *zap.Logger
	Journal  func(journal.Event)
	// OwnFlags returns this host's flags, for gossip.
	OwnFlags func() api.Flags
	// OnAdvance is called with each new configuration, while the Syncer is locked.
	OnAdvance func(*config.State)

	mu      sync.Mutex
	tracker Tracker
	// changes are the recent changes without gaps, the oldest first.
	changes []recentChange
	// state and freshUntil are read without the lock.
	state      atomic.Pointer[config.State]
	freshUntil atomic.Int64
	// leader is the address of the control leader, empty if it is not known.
	leader string
	// wasFresh is whether the configuration was fresh at the last update of
	// freshUntil.
	wasFresh bool
	stopped  chan struct{}
}

// recentChange is a recent change in encoded form, to send to peers.
type recentChange struct {
	sequence uint64
	data     []byte
}

const (
	// maxRecentChanges is the number of changes that are kept for peers.
	maxRecentChanges = 4096
	callTimeout      = 1 * clock.Second
	// peersWithoutLeader is the number of peers to call in each round if there is no
	// recent leadership proof.
	peersWithoutLeader = 3
	// recentProofDivisor sets the age up to which a leadership proof is recent:
	// MaxProofAge divided by this number.
	recentProofDivisor = 3
)

// Prepare makes the Syncer answer peers, with an empty configuration. It must be
// called before a peer can reach this host.
func (s *Syncer) Prepare() {
	s.tracker = Tracker{Self: s.Host.ID, MaxProofAge: s.MaxProofAge}
	s.tracker.Run()
	s.state.Store(s.tracker.State())
	s.stopped = make(chan struct{})
}

// Run starts to follow the configuration. It prepares the Syncer if Prepare was
// not called.
func (s *Syncer) Run() {
	if s.stopped == nil {
		s.Prepare()
	}
	go s.controlLoop()
	go s.gossipLoop()
}

// Close stops following the configuration.
func (s *Syncer) Close() { close(s.stopped) }

// Config returns the newest configuration that this host holds.
func (s *Syncer) Config() *config.State { return s.state.Load() }

// Current reports whether the configuration is proved to be fresh.
func (s *Syncer) Current() bool {
	return s.Clock.Now() < clock.Millis(s.freshUntil.Load())
}

// Alive returns the flags of the hosts that were seen within MaxProofAge, and of
// this host, by host ID.
func (s *Syncer) Alive() map[string]api.Flags {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.tracker.Alive(s.Clock.Now())
	m[s.Host.ID] = s.OwnFlags()
	return m
}

// Gossip handles a peer's request.
func (s *Syncer) Gossip(a api.GossipArgs) api.GossipReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	return api.GossipReply{
		Update:    s.updateSince(a.Sequence),
		Beat:      s.tracker.LastProof(now),
		Sightings: s.tracker.Sightings(now, s.OwnFlags()),
	}
}

// updateSince returns an update from a sequence to the current configuration. It has
// the changes in between if all are kept, or else the whole state. The caller must
// hold mu.
func (s *Syncer) updateSince(sequence uint64) api.Update {
	n := s.tracker.State()
	u := api.Update{From: sequence, Sequence: n.Sequence, Digest: n.Digest}
	if sequence >= n.Sequence {
		return u
	}
	if k := len(s.changes); k > 0 && s.changes[0].sequence <= sequence+1 {
		for _, c := range s.changes[sequence+1-s.changes[0].sequence:] {
			u.Changes = append(u.Changes, c.data)
		}
		return u
	}
	b, err := n.Encode()
	if err != nil {
		s.Log.Error("cannot encode the configuration", zap.Error(err))
		return u
	}
	u.State = b
	return u
}

// controlLoop calls the control replicas in each round until the leader replies.
func (s *Syncer) controlLoop() {
	for s.pause() {
		for _, a := range s.controlAddrs() {
			if s.callControl(a) {
				break
			}
		}
		s.updateFreshness()
	}
}

// pause waits for Interval. It reports false if the Syncer was closed.
func (s *Syncer) pause() bool {
	select {
	case <-s.stopped:
		return false
	case <-time.After(s.Interval.Duration()):
		return true
	}
}

// controlAddrs returns the addresses of the control replicas, the leader first.
func (s *Syncer) controlAddrs() []string {
	l := append([]string(nil), s.Control...)
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != "" {
		l = append([]string{s.leader}, l...)
	}
	return l
}

// callControl calls a control replica. It reports whether the reply has a leadership
// proof.
func (s *Syncer) callControl(addr string) bool {
	at := s.Clock.Now()
	a := api.FollowArgs{Host: s.Host, Sequence: s.Config().Sequence}
	var p api.FollowReply
	err := s.Pool.Get(addr).Call("Replica.Follow", a, &p, callTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if addr == s.leader {
			s.leader = ""
		}
		return false
	}
	s.leader = p.Leader
	s.applyUpdate(p.Update)
	s.tracker.AddProof(at, p.Beat)
	return p.Beat.Known
}

// gossipLoop calls random peers in each round.
func (s *Syncer) gossipLoop() {
	for s.pause() {
		for _, a := range s.peers() {
			g := &gossipCall{s, a}
			go g.run()
		}
	}
}

// gossipCall is one gossip call to a peer.
type gossipCall struct {
	syncer *Syncer
	addr   string
}

func (q *gossipCall) run() { q.syncer.callPeer(q.addr) }

// peers returns the addresses of random peers. There is one while the leadership
// proof is recent; otherwise there are more, since then sightings by peers have to
// prove that the configuration is fresh.
func (s *Syncer) peers() []string {
	var l []string
	for id, h := range s.Config().Hosts {
		if id != s.Host.ID {
			l = append(l, h.Peer)
		}
	}
	if len(l) == 0 {
		l = append(l, s.Seeds...)
	}
	sort.Strings(l)
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(s.peerCount(), len(l))]
}

func (s *Syncer) peerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.tracker.LastProof(s.Clock.Now()); b.Known && b.Age < s.MaxProofAge/recentProofDivisor {
		return 1
	}
	return peersWithoutLeader
}

func (s *Syncer) callPeer(addr string) {
	if addr == s.Host.Peer {
		return
	}
	at := s.Clock.Now()
	a := api.GossipArgs{Host: s.Host.ID, Sequence: s.Config().Sequence}
	var p api.GossipReply
	if s.Pool.Get(addr).Call("Host.Gossip", a, &p, callTimeout) != nil {
		return
	}
	s.mu.Lock()
	s.applyUpdate(p.Update)
	s.tracker.AddProof(at, p.Beat)
	s.tracker.AddSightings(at, p.Sightings)
	s.mu.Unlock()
	s.updateFreshness()
}

// applyUpdate applies an update. The caller must hold mu.
func (s *Syncer) applyUpdate(u api.Update) {
	old := s.tracker.State()
	n, err := apply(old, u)
	if err != nil {
		s.Log.Error("rejected an update of the configuration", zap.Error(err))
		s.Journal(journal.Event{Kind: journal.DigestMismatch, Subject: s.Host.ID, Cause: err.Error()})
		return
	}
	if !s.tracker.Advance(n) {
		return
	}
	s.keepChanges(old, u)
	s.state.Store(n)
	s.OnAdvance(n)
}

// keepChanges keeps the changes of an update to old, to send them to peers.
func (s *Syncer) keepChanges(old *config.State, u api.Update) {
	if len(u.State) > 0 {
		s.changes = nil
		return
	}
	for i, b := range u.Changes {
		s.changes = append(s.changes, recentChange{old.Sequence + 1 + uint64(i), b})
	}
	if k := len(s.changes); k > maxRecentChanges {
		s.changes = s.changes[k-maxRecentChanges:]
	}
}

// updateFreshness computes until when the configuration is fresh, and records changes
// between fresh and stale in the journal.
func (s *Syncer) updateFreshness() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	until := s.tracker.FreshUntil(now)
	s.freshUntil.Store(int64(until))
	if is := now < until; is != s.wasFresh {
		s.wasFresh = is
		k := journal.ConfigStale
		if is {
			k = journal.ConfigCurrent
		}
		s.Journal(journal.Event{Kind: k, Subject: s.Host.ID})
	}
}
