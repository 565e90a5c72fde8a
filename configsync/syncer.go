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

// Syncer follows the configuration in the background.
type Syncer struct {
	Host config.Host
	// Control are the addresses of control replicas, Seeds those of hosts
	// to ask before a roster is known.
	Control     []string
	Seeds       []string
	MaxProofAge clock.Millis
	// Interval is the time between two questions.
	Interval clock.Millis
	Pool     *wire.Pool
	Clock    clock.Clock
	Log      *zap.Logger
	Journal  func(journal.Event)
	// OwnFlags returns the flags to spread about this host.
	OwnFlags func() api.Flags
	// OnAdvance is told of each new configuration.
	OnAdvance func(*config.State)

	mu      sync.Mutex
	tracker Tracker
	changes []keptChange
	view    atomic.Pointer[config.State]
	fresh   atomic.Int64
	leader  string
	was     bool
	stopped chan struct{}
}

// keptChange is a recent change for passing on to peers.
type keptChange struct {
	sequence uint64
	data     []byte
}

const (
	changesKept = 4096
	callTimeout = 1 * clock.Second
	// gossipPeers is the number of peers asked in each round without leader.
	gossipPeers = 3
	// leaderHeard is the part of the limit within which a beat counts as
	// being in contact with the leader.
	leaderHeard = 3
)

// Run starts to follow.
func (s *Syncer) Run() {
	s.tracker = Tracker{Self: s.Host.ID, MaxProofAge: s.MaxProofAge}
	s.tracker.Init()
	s.view.Store(s.tracker.State())
	s.stopped = make(chan struct{})
	go s.controlLoop()
	go s.gossipLoop()
}

// Close stops following.
func (s *Syncer) Close() { close(s.stopped) }

// Config returns the configuration held.
func (s *Syncer) Config() *config.State { return s.view.Load() }

// Current reports whether the configuration may be trusted.
func (s *Syncer) Current() bool {
	return s.Clock.Now() < clock.Millis(s.fresh.Load())
}

// Alive returns the hosts seen lately with their flags, this one included.
func (s *Syncer) Alive() map[string]api.Flags {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.tracker.Alive(s.Clock.Now())
	m[s.Host.ID] = s.OwnFlags()
	return m
}

// Gossip answers a peer.
func (s *Syncer) Gossip(a api.GossipArgs) api.GossipReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	return api.GossipReply{
		Update:    s.update(a.Sequence),
		Beat:      s.tracker.LastProof(now),
		Sightings: s.tracker.Sightings(now, s.OwnFlags()),
	}
}

func (s *Syncer) update(sequence uint64) api.Update {
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

func (s *Syncer) controlLoop() {
	for s.pause() {
		for _, a := range s.controls() {
			if s.askControl(a) {
				break
			}
		}
		s.review()
	}
}

func (s *Syncer) pause() bool {
	select {
	case <-s.stopped:
		return false
	case <-time.After(s.Interval.Duration()):
		return true
	}
}

// controls returns the replicas to ask, the leader first.
func (s *Syncer) controls() []string {
	l := append([]string(nil), s.Control...)
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != "" {
		l = append([]string{s.leader}, l...)
	}
	return l
}

// askControl reports whether the leader answered.
func (s *Syncer) askControl(addr string) bool {
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
	s.take(p.Update)
	s.tracker.AddProof(at, p.Beat)
	return p.Beat.Known
}

func (s *Syncer) gossipLoop() {
	for s.pause() {
		for _, a := range s.peers() {
			g := &question{s, a}
			go g.run()
		}
	}
}

// question is one question to a peer.
type question struct {
	spread *Syncer
	addr   string
}

func (q *question) run() { q.spread.askPeer(q.addr) }

// peers returns the addresses of random peers: one while the leader is heard,
// a few otherwise, since then the proof depends on them.
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
	return l[:min(s.gossipPeers(), len(l))]
}

func (s *Syncer) gossipPeers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.tracker.LastProof(s.Clock.Now()); b.Known && b.Age < s.MaxProofAge/leaderHeard {
		return 1
	}
	return gossipPeers
}

func (s *Syncer) askPeer(addr string) {
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
	s.take(p.Update)
	s.tracker.AddProof(at, p.Beat)
	s.tracker.AddSightings(at, p.Sightings)
	s.mu.Unlock()
	s.review()
}

// take applies an update. The caller holds mu.
func (s *Syncer) take(u api.Update) {
	old := s.tracker.State()
	n, err := apply(old, u)
	if err != nil {
		s.Log.Error("refused an update of the configuration", zap.Error(err))
		s.Journal(journal.Event{Kind: journal.DigestMismatch, Subject: s.Host.ID, Cause: err.Error()})
		return
	}
	if !s.tracker.Advance(n) {
		return
	}
	s.keep(old, u)
	s.view.Store(n)
	s.OnAdvance(n)
}

func (s *Syncer) keep(old *config.State, u api.Update) {
	if len(u.State) > 0 {
		s.changes = nil
		return
	}
	for i, b := range u.Changes {
		s.changes = append(s.changes, keptChange{old.Sequence + 1 + uint64(i), b})
	}
	if k := len(s.changes); k > changesKept {
		s.changes = s.changes[k-changesKept:]
	}
}

// review publishes until when the configuration is fresh.
func (s *Syncer) review() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	until := s.tracker.FreshUntil(now)
	s.fresh.Store(int64(until))
	if is := now < until; is != s.was {
		s.was = is
		k := journal.ConfigStale
		if is {
			k = journal.ConfigCurrent
		}
		s.Journal(journal.Event{Kind: k, Subject: s.Host.ID})
	}
}
