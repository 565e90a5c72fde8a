// Package control runs a replica of the configuration log as a process: the
// replica actor, its disk, its transport and its interfaces.
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
	tickInterval  = 20 * clock.Millis(1)
	joinInterval  = 300 * clock.Millis(1)
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
	// leaders maps the IDs of leaders met while joining to their addresses.
	leaders sync.Map
	stopped chan struct{}
}

// Run opens the disk and starts to serve. It returns once the replica works.
func (c *Control) Run() error {
	d, err := c.open()
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

// open loads the identity and the log. A disk without identity is empty, and
// gets a new one.
func (c *Control) open() (replica.PersistentState, error) {
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

func (c *Control) send(l []replica.Message, m replica.Members) {
	for _, x := range l {
		if a := c.address(x.To, m); a != "" {
			c.outbox.Send(a, x)
		}
	}
}

// address returns the address of a replica. A learner that has not received
// the membership yet knows only the leader that admitted it.
func (c *Control) address(id string, m replica.Members) string {
	if a := m.Address(id); a != "" {
		return a
	}
	a, _ := c.leaders.Load(id)
	s, _ := a.(string)
	return s
}

func (c *Control) save(v replica.Vote, e []replica.Entry) error {
	return c.checkDisk(c.disk.Save(v, e))
}

func (c *Control) saveSnapshot(s replica.Snapshot, v replica.Vote, e []replica.Entry) error {
	return c.checkDisk(c.disk.SaveSnapshot(s, v, e))
}

// checkDisk ends the process after a failed write: what the disk holds is
// known again only after a restart.
func (c *Control) checkDisk(err error) error {
	if err != nil {
		c.Log.Fatal("the disk failed", zap.Error(err))
	}
	return nil
}

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

func (c *Control) dump() any {
	var p api.ReplicaStatus
	if err := ask(service{c.actors.Root, c.pid}, &status{}, askTimeout, &p); err != nil {
		return err
	}
	return p
}

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

// joinLoop asks for admission until the replica is a member.
func (c *Control) joinLoop() {
	for {
		select {
		case <-c.stopped:
			return
		case <-time.After(joinInterval.Duration()):
		}
		if isFounder(c.id) {
			return
		}
		for _, a := range c.Settings.Replicas {
			c.askJoin(a)
		}
	}
}

func (c *Control) askJoin(addr string) {
	if addr == c.Settings.Peer {
		return
	}
	a := JoinArgs{ID: c.id, Addr: c.Settings.Peer}
	var p JoinReply
	if c.pool.Get(addr).Call("Replica.Join", a, &p, askTimeout) != nil {
		// The next round asks again.
		return
	}
	if p.LeaderID != "" && p.Leader != "" {
		c.leaders.Store(p.LeaderID, p.Leader)
	}
}

// DiskStale reports whether the disk must be set aside before a new Run.
func (c *Control) DiskStale() bool { return c.diskStale.Load() }

// Stop ends the replica. Nothing is lost: every answer was synced before.
func (c *Control) Stop() {
	close(c.stopped)
	c.server.Close()
	c.admin.Close()
	_ = c.actors.Root.StopFuture(c.pid).Wait()
	c.disk.Close()
}
