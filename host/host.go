// Package host runs an entry host as a process: the front for callers, the
// host's share of the keepers, the configuration's spread and the interfaces
// for peers, targets and operators.
package host

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/admin"
	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/configsync"
	"github.com/carawayrack/carawayrack/forward"
	"github.com/carawayrack/carawayrack/frontend"
	"github.com/carawayrack/carawayrack/journal"
	"github.com/carawayrack/carawayrack/lease"
	"github.com/carawayrack/carawayrack/leaseholder"
	"github.com/carawayrack/carawayrack/logs"
	"github.com/carawayrack/carawayrack/shardclient"
	"github.com/carawayrack/carawayrack/usage"
	"github.com/carawayrack/carawayrack/wire"
)

const (
	journalSize       = 10_000
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	tickInterval      = 50 * time.Millisecond
	// leaseLinger gathers the lease messages of many shards into one call.
	leaseLinger = 10 * clock.Millis(1)
)

// Host is a running entry host.
type Host struct {
	Settings Settings
	Log      *zap.Logger

	incarnation string
	stopping    atomic.Bool
	violations  atomic.Int64
	actors      *actor.ActorSystem
	pool        *wire.Pool
	leases      *wire.Outbox[lease.Message]
	releases    *wire.Outbox[leaseholder.ReleaseArgs]
	announces   *wire.Outbox[leaseholder.AnnounceArgs]
	journal     *journal.Journal
	spread      *configsync.Syncer
	fences      *shardclient.Fences
	locator     *shardclient.Locator
	tokens      *shardclient.Tokens
	ledger      *shardclient.Ledger
	targets     *forward.Pool
	front       *frontend.Handler
	usage       *usage.Counter
	shards      *shards
	server      *wire.Server
	admin       *admin.Server
	callers     *http.Server
	stopped     chan struct{}
}

// Run starts the host and returns once it listens.
func (h *Host) Run() error {
	b := make([]byte, 8)
	// rand.Read never returns an error on supported platforms.
	_, _ = rand.Read(b)
	h.incarnation = hex.EncodeToString(b)
	h.stopped = make(chan struct{})
	h.usage = &usage.Counter{}
	h.journal = &journal.Journal{Size: journalSize, Log: h.Log}
	h.actors = logs.NewActorSystem(h.Log)
	h.connect()
	h.claims()
	h.serveFront()
	h.follow()
	h.shards = &shards{host: h}
	h.shards.run()
	if err := h.listen(); err != nil {
		return err
	}
	h.spread.Run()
	go h.loop()
	return nil
}

func (h *Host) connect() {
	h.pool = &wire.Pool{Secret: h.Settings.Secret, Via: h.Settings.Via}
	h.leases = &wire.Outbox[lease.Message]{Pool: h.pool, Method: "Keeper.Lease", Linger: leaseLinger}
	h.releases = &wire.Outbox[leaseholder.ReleaseArgs]{Pool: h.pool, Method: "Keeper.Release"}
	h.announces = &wire.Outbox[leaseholder.AnnounceArgs]{Pool: h.pool, Method: "Keeper.Announce"}
}

func (h *Host) claims() {
	h.fences = &shardclient.Fences{}
	h.locator = &shardclient.Locator{Config: h.config, Call: h.call, SearchTimeout: h.Settings.LocateTimeout}
	h.tokens = &shardclient.Tokens{Host: h.Settings.ID, Locator: h.locator, Fences: h.fences, MaxWait: h.Settings.TokenWait}
	h.tokens.Run()
	h.ledger = &shardclient.Ledger{
		Host: h.Settings.ID, Incarnation: h.incarnation, Locator: h.locator, Fences: h.fences,
		ContactTimeout: h.Settings.Leaseholder.HostLapse, Journal: h.journal.Add, Release: h.release, Report: h.report,
	}
	h.ledger.Run()
	h.targets = &forward.Pool{}
	h.targets.Run()
}

func (h *Host) serveFront() {
	h.front = &frontend.Handler{
		Host: h.Settings.ID, Zone: h.Settings.Zone, Incarnation: h.incarnation,
		Config: h.config, Current: h.current, Alive: h.alive, Stopping: h.stopping.Load,
		Tokens: h.tokens, Ledger: h.ledger, Records: &shardclient.Records{Locator: h.locator},
		Pool: h.targets, Usage: h.usage, Journal: h.journal.Add, Log: h.Log, AddressHold: h.Settings.AddressHold,
	}
	h.front.Run()
}

func (h *Host) follow() {
	s := h.Settings
	h.spread = &configsync.Syncer{
		Host:    config.Host{ID: s.ID, Zone: s.Zone, Peer: s.Peer, Callers: s.Callers, Incarnation: h.incarnation},
		Control: s.Control, Seeds: s.Seeds, MaxProofAge: s.Freshness, Interval: s.Interval, Pool: h.pool,
		Log: h.Log, Journal: h.journal.Add, OwnFlags: h.flags, OnAdvance: h.front.CancelWithdrawn,
	}
}

func (h *Host) config() *config.State { return h.spread.Config() }

func (h *Host) current() bool { return h.spread.Current() }

func (h *Host) alive() map[string]api.Flags { return h.spread.Alive() }

func (h *Host) flags() api.Flags {
	return api.Flags{Stopping: h.stopping.Load(), Load: h.front.InFlight()}
}

func (h *Host) violated(invariant, detail string) {
	h.violations.Add(1)
	h.journal.Add(journal.Event{Kind: journal.InvariantViolated, Subject: invariant, Evidence: detail})
	if h.Settings.PanicOnViolation {
		h.Log.Fatal("invariant violated", zap.String("invariant", invariant), zap.String("detail", detail))
	}
}

func (h *Host) listen() error {
	h.server = &wire.Server{Addr: h.Settings.Peer, Secret: h.Settings.Secret, Log: h.Log}
	if err := h.server.Register("Keeper", &ShardService{h.shards}); err != nil {
		return err
	}
	if err := h.server.Register("Host", &PeerService{h}); err != nil {
		return err
	}
	h.admin = &admin.Server{Addr: h.Settings.Admin, Secret: h.Settings.Secret, Log: h.Log, Dump: h.dump, Handlers: h.handlers()}
	l, err := net.Listen("tcp", h.Settings.Callers)
	if err != nil {
		return errors.Wrap(err, "host.listen")
	}
	if err := h.server.Run(); err != nil {
		return err
	}
	if err := h.admin.Run(); err != nil {
		return err
	}
	h.callers = &http.Server{Handler: h.front, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: zap.NewStdLog(h.Log)}
	go h.run(l)
	publish("violations", func() any { return h.violations.Load() })
	publish("requestsUnderWay", func() any { return h.front.InFlight() })
	publish("usage", func() any { return h.usage.Rows() })
	return nil
}

// publish makes a value visible through expvar, unless another host in this
// process has done so.
func publish(name string, f func() any) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(f))
	}
}

func (h *Host) run(l net.Listener) {
	if err := h.callers.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		h.Log.Error("the callers' interface ended", zap.Error(err))
	}
}

func (h *Host) loop() {
	for {
		select {
		case <-h.stopped:
			return
		case <-time.After(tickInterval):
			h.shards.tick()
		}
	}
}

// Stop ends the host gracefully: it leaves the answers to callers, hands its
// keepers over, serves until answers given out have run out, and finishes
// every request. Cancelling c ends it at once; the number of requests that
// were cut is returned.
func (h *Host) Stop(c context.Context) int {
	h.journal.Add(journal.Event{Kind: journal.StopRequested, Subject: h.Settings.ID})
	h.stopping.Store(true)
	h.shards.resign()
	select {
	case <-c.Done():
	case <-time.After(h.Settings.AddressHold.Duration()):
	}
	cut := 0
	if err := h.callers.Shutdown(c); err != nil {
		cut = h.front.InFlight()
		h.journal.Add(journal.Event{Kind: journal.StopInterruptedRequests, Subject: h.Settings.ID, Cause: err.Error()})
		_ = h.callers.Close()
	}
	h.close()
	return cut
}

func (h *Host) close() {
	close(h.stopped)
	h.spread.Close()
	h.tokens.Close()
	h.ledger.Close()
	h.targets.Close()
	h.shards.close()
	h.server.Close()
	h.admin.Close()
}
