// Package host runs an entry host as a process: the frontend for callers, the
// shards of which the host is a member, the synchronization of the
// configuration, and the interfaces for peers, targets and operators.
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
	// journalSize is the maximum number of events in the journal.
	journalSize       = 10_000
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	tickInterval      = 50 * time.Millisecond
	// leaseLinger is the time for which the lease messages of many shards are
	// collected to be sent in one call.
	leaseLinger = 10 * clock.Millis(1)
)

// Host is a running entry host.
type Host struct {
	Settings Settings
	Log      *zap.Logger

	incarnation    string
	stopping       atomic.Bool
	violations     atomic.Int64
	actors         *actor.ActorSystem
	pool           *wire.Pool
	leaseOutbox    *wire.Outbox[lease.Message]
	releaseOutbox  *wire.Outbox[leaseholder.ReleaseArgs]
	announceOutbox *wire.Outbox[leaseholder.AnnounceArgs]
	journal        *journal.Journal
	configSync     *configsync.Syncer
	fences         *shardclient.Fences
	locator        *shardclient.Locator
	tokens         *shardclient.Tokens
	ledger         *shardclient.Ledger
	targets        *forward.Pool
	frontend       *frontend.Handler
	usage          *usage.Counter
	shards         *shards
	server         *wire.Server
	admin          *admin.Server
	callerServer   *http.Server
	stopped        chan struct{}
}

// Run starts the host and returns once it listens on all its addresses.
func (h *Host) Run() error {
	b := make([]byte, 8)
	// rand.Read never returns an error on supported platforms.
	_, _ = rand.Read(b)
	h.incarnation = hex.EncodeToString(b)
	h.stopped = make(chan struct{})
	h.usage = &usage.Counter{}
	h.journal = &journal.Journal{Size: journalSize, Log: h.Log}
	h.actors = logs.NewActorSystem(h.Log)
	h.createOutboxes()
	h.createShardClient()
	h.createFrontend()
	h.createConfigSync()
	h.shards = &shards{host: h}
	h.shards.run()
	if err := h.listen(); err != nil {
		return err
	}
	h.configSync.Run()
	go h.loop()
	return nil
}

// createOutboxes creates the connection pool for peers and the outboxes that use
// it.
func (h *Host) createOutboxes() {
	h.pool = &wire.Pool{Secret: h.Settings.Secret, Via: h.Settings.Via}
	h.leaseOutbox = &wire.Outbox[lease.Message]{Pool: h.pool, Method: "Keeper.Lease", Linger: leaseLinger}
	h.releaseOutbox = &wire.Outbox[leaseholder.ReleaseArgs]{Pool: h.pool, Method: "Keeper.Release"}
	h.announceOutbox = &wire.Outbox[leaseholder.AnnounceArgs]{Pool: h.pool, Method: "Keeper.Announce"}
}

// createShardClient creates the clients of the shards' leaseholders and the
// connection pool for targets.
func (h *Host) createShardClient() {
	h.fences = &shardclient.Fences{}
	h.locator = &shardclient.Locator{Config: h.config, Call: h.call, SearchTimeout: h.Settings.SearchTimeout}
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

// createFrontend creates the handler for callers.
func (h *Host) createFrontend() {
	h.frontend = &frontend.Handler{
		Host: h.Settings.ID, Zone: h.Settings.Zone, Incarnation: h.incarnation,
		Config: h.config, Current: h.current, Alive: h.alive, Stopping: h.stopping.Load,
		Tokens: h.tokens, Ledger: h.ledger, Records: &shardclient.Records{Locator: h.locator},
		Pool: h.targets, Usage: h.usage, Journal: h.journal.Add, Log: h.Log, AddressHold: h.Settings.AddressHold,
	}
	h.frontend.Run()
}

// createConfigSync creates the synchronization of the configuration.
func (h *Host) createConfigSync() {
	s := h.Settings
	h.configSync = &configsync.Syncer{
		Host:    config.Host{ID: s.ID, Zone: s.Zone, Peer: s.Peer, Callers: s.Callers, Incarnation: h.incarnation},
		Control: s.Control, Seeds: s.Seeds, MaxProofAge: s.Freshness, Interval: s.Interval, Pool: h.pool,
		Log: h.Log, Journal: h.journal.Add, OwnFlags: h.flags, OnAdvance: h.frontend.CancelWithdrawn,
	}
	h.configSync.Prepare()
}

func (h *Host) config() *config.State { return h.configSync.Config() }

func (h *Host) current() bool { return h.configSync.Current() }

func (h *Host) alive() map[string]api.Flags { return h.configSync.Alive() }

// flags returns what this host publishes about itself to other hosts.
func (h *Host) flags() api.Flags {
	return api.Flags{Stopping: h.stopping.Load(), Load: h.frontend.InFlight()}
}

// reportViolation records a violated invariant and, if the settings say so, ends
// the process.
func (h *Host) reportViolation(invariant, detail string) {
	h.violations.Add(1)
	h.journal.Add(journal.Event{Kind: journal.InvariantViolated, Subject: invariant, Evidence: detail})
	if h.Settings.PanicOnViolation {
		h.Log.Fatal("invariant violated", zap.String("invariant", invariant), zap.String("detail", detail))
	}
}

// listen starts the servers for peers, operators and callers.
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
	h.callerServer = &http.Server{Handler: h.frontend, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: zap.NewStdLog(h.Log)}
	go h.run(l)
	publish("violations", func() any { return h.violations.Load() })
	publish("requestsUnderWay", func() any { return h.frontend.InFlight() })
	publish("usage", func() any { return h.usage.Rows() })
	return nil
}

// publish publishes a value through expvar, unless another host in this process
// has already published that name.
func publish(name string, f func() any) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(f))
	}
}

// run serves callers.
func (h *Host) run(l net.Listener) {
	if err := h.callerServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		h.Log.Error("the server for callers failed", zap.Error(err))
	}
}

// loop calls shards.tick until the host is stopped.
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

// Stop shuts the host down gracefully. The host is no longer included in
// responses with addresses, gives up its leases, serves until the responses
// that callers have cached (for up to AddressHold) have expired, and completes
// the requests in flight. If c is cancelled it closes at once. Stop returns the
// number of requests in flight that were cut off.
func (h *Host) Stop(c context.Context) int {
	h.journal.Add(journal.Event{Kind: journal.StopRequested, Subject: h.Settings.ID})
	h.stopping.Store(true)
	h.shards.resign()
	select {
	case <-c.Done():
	case <-time.After(h.Settings.AddressHold.Duration()):
	}
	interrupted := 0
	if err := h.callerServer.Shutdown(c); err != nil {
		interrupted = h.frontend.InFlight()
		h.journal.Add(journal.Event{Kind: journal.StopInterruptedRequests, Subject: h.Settings.ID, Cause: err.Error()})
		_ = h.callerServer.Close()
	}
	h.close()
	return interrupted
}

func (h *Host) close() {
	close(h.stopped)
	h.configSync.Close()
	h.tokens.Close()
	h.ledger.Close()
	h.targets.Close()
	h.shards.close()
	h.server.Close()
	h.admin.Close()
}
