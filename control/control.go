// Package control runs a replica of the configuration log as a process: the
// replica actor, its storage, its transport and its interfaces for replicas,
// hosts and operators.
package control

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/admin"
	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/logs"
	"github.com/carawayrack/carawayrack/replica"
	"github.com/carawayrack/carawayrack/wal"
	"github.com/carawayrack/carawayrack/wire"
)

const (
	tickInterval = 20 * clock.Millis(1)
	joinInterval = 300 * clock.Millis(1)
	// exitViolation is the exit code of a process with a violated invariant.
	exitViolation = 3
)

// Control is a running control replica.
type Control struct {
	Settings Settings
	Log      *zap.Logger

	id        string
	disk      *wal.Log
	actors    *actor.ActorSystem
	pid       *actor.PID
	server    *wire.Server
	admin     *admin.Server
	pool      *wire.Pool
	outbox    *wire.Outbox[replica.Message]
	diskStale atomic.Bool
	// leaders maps the IDs of leaders to their addresses, as received in
	// replies to join requests.
	leaders sync.Map
	stopped chan struct{}
}

// Run loads the stored state and starts the replica. It returns once the
// replica listens on its addresses.
func (c *Control) Run() error {
	d, err := c.openStorage()
	if err != nil {
		return err
	}
	c.stopped = make(chan struct{})
	c.pool = &wire.Pool{Secret: c.Settings.Secret, Via: c.Settings.Via}
	c.outbox = &wire.Outbox[replica.Message]{Pool: c.pool, Method: "Replica.Deliver"}
	r := &Replica{
		ID: c.id, Settings: c.Settings, Log: c.Log.Named(c.id), Stored: d,
		Storage:     replica.Storage{Save: c.save, SaveSnapshot: c.saveSnapshot},
		Send:        c.send,
		OnStaleDisk: func() { c.diskStale.Store(true) },
	}
	c.actors = logs.NewActorSystem(c.Log)
	r.respond = func(p *actor.PID, m any) { c.actors.Root.Send(p, m) }
	c.pid = c.actors.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return r }))
	if err := c.serve(); err != nil {
		return err
	}
	go c.loop()
	go c.joinLoop()
	return nil
}

// openStorage loads the identity and the log. A data folder without an identity
// is empty and gets a new one.
func (c *Control) openStorage() (replica.PersistentState, error) {
	i := wal.Identity{Dir: c.Settings.Data, Name: c.Settings.Name}
	id, err := i.Load()
	if err != nil {
		return replica.PersistentState{}, err
	}
	c.disk = &wal.Log{Dir: c.Settings.Data}
	if id != "" && !c.disk.Exists() {
		return replica.PersistentState{}, wal.Damaged{Path: c.Settings.Data, Reason: "the folder has an identity but no log"}
	}
	d, err := c.disk.Open()
	if err != nil {
		return d, err
	}
	if id == "" {
		id, err = i.Create()
	}
	c.id = id
	return d, err
}

// send sends messages to other replicas without waiting. A message to a replica
// whose address is unknown is dropped.
func (c *Control) send(l []replica.Message, m replica.Members) {
	for _, x := range l {
		if a := c.address(x.To, m); a != "" {
			c.outbox.Send(a, x)
		}
	}
}

// address returns the address of a replica, "" if it is unknown. A learner that
// has not received the membership yet knows only the addresses of leaders.
func (c *Control) address(id string, m replica.Members) string {
	if a := m.Address(id); a != "" {
		return a
	}
	a, _ := c.leaders.Load(id)
	s, _ := a.(string)
	return s
}

func (c *Control) save(v replica.Vote, e []replica.Entry) error {
	return c.exitOnWriteError(c.disk.Save(v, e))
}

func (c *Control) saveSnapshot(s replica.Snapshot, v replica.Vote, e []replica.Entry) error {
	return c.exitOnWriteError(c.disk.SaveSnapshot(s, v, e))
}

// exitOnWriteError ends the process after a failed write. After such an error
// the contents of the disk are uncertain until they are loaded again.
func (c *Control) exitOnWriteError(err error) error {
	if err != nil {
		c.Log.Fatal("writing to the data folder failed", zap.Error(err))
	}
	return nil
}

// serve starts the servers for replicas, hosts and operators.
func (c *Control) serve() error {
	c.server = &wire.Server{Addr: c.Settings.Peer, Secret: c.Settings.Secret, Log: c.Log}
	s := service{c.actors.Root, c.pid}
	if err := c.server.Register("Replica", ReplicaService{s}); err != nil {
		return err
	}
	if err := c.server.Register("Operator", OperatorService{s}); err != nil {
		return err
	}
	if err := c.server.Run(); err != nil {
		return err
	}
	c.admin = &admin.Server{Addr: c.Settings.Admin, Secret: c.Settings.Secret, Log: c.Log, Dump: c.dump}
	return errors.Wrap(c.admin.Run(), "control.serve")
}

// dump returns the status of the replica, or an error if it does not respond.
func (c *Control) dump() any {
	var p api.ReplicaStatus
	if err := request(service{c.actors.Root, c.pid}, &status{}, requestTimeout, &p); err != nil {
		return err
	}
	return p
}

// loop sends a tick to the replica every tickInterval.
func (c *Control) loop() {
	for {
		select {
		case <-c.stopped:
			return
		case <-time.After(tickInterval.Duration()):
			c.actors.Root.Send(c.pid, &tick{})
		}
	}
}

// joinLoop sends join requests to the bootstrap replicas every joinInterval,
// unless this replica is itself one of them.
func (c *Control) joinLoop() {
	for {
		select {
		case <-c.stopped:
			return
		case <-time.After(joinInterval.Duration()):
		}
		if isBootstrapID(c.id) {
			return
		}
		for _, a := range c.Settings.Replicas {
			c.requestJoin(a)
		}
	}
}

// requestJoin requests the admission of this replica as a learner.
func (c *Control) requestJoin(addr string) {
	if addr == c.Settings.Peer {
		return
	}
	a := JoinArgs{ID: c.id, Addr: c.Settings.Peer}
	var p JoinReply
	if c.pool.Get(addr).Call("Replica.Join", a, &p, requestTimeout) != nil {
		// joinLoop sends the request again.
		return
	}
	if p.LeaderID != "" && p.Leader != "" {
		c.leaders.Store(p.LeaderID, p.Leader)
	}
}

// DiskStale reports whether the data folder holds outdated state and must be set
// aside before a new Control is run.
func (c *Control) DiskStale() bool { return c.diskStale.Load() }

// Stop ends the replica. No acknowledged change is lost, since changes are
// synced to disk before they are acknowledged.
func (c *Control) Stop() {
	close(c.stopped)
	c.server.Close()
	c.admin.Close()
	_ = c.actors.Root.StopFuture(c.pid).Wait()
	c.disk.Close()
}
