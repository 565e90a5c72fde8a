// Package coordinator runs a control process of a deployment: a replica of
// the catalog, the exchange with hosts, and the loans of accounts' tokens.
package coordinator

import (
	"path/filepath"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/logs"
	"github.com/carawayrack/carawayrack/replica"
	"github.com/carawayrack/carawayrack/wal"
	"github.com/carawayrack/carawayrack/wire"
)

// Coordinator is a running control process.
type Coordinator struct {
	Settings  Settings
	Log       *zap.Logger
	Translate func([]byte) (*catalog.Config, error)
	// Wall reads the time of day, the system's if it is not set.
	Wall clock.Clock

	clock  clock.Clock
	actors *actor.ActorSystem
	server *wire.Server
	pool   *wire.Pool
	outbox *wire.Outbox[replica.Message]

	mu   sync.Mutex
	pid  *actor.PID
	disk *wal.Log
	// leaders holds addresses of replicas met while joining, by ID.
	leaders sync.Map
	stopped chan struct{}
	failed  chan error
	// kicks asks for a report at once.
	kicks chan struct{}
}

// restartDelay is the pause before a replica whose disk failed starts over.
const restartDelay = 300 * time.Millisecond

// Run opens the disk and starts to serve.
func (c *Coordinator) Run() error {
	c.clock = clock.Boot()
	if c.Wall.Read == nil {
		c.Wall = clock.Wall()
	}
	c.stopped = make(chan struct{})
	c.failed = make(chan error, 1)
	c.kicks = make(chan struct{}, 1)
	c.pool = &wire.Pool{Secret: c.Settings.Secret}
	c.outbox = &wire.Outbox[replica.Message]{Pool: c.pool, Method: "Peer.Deliver"}
	c.actors = logs.NewActorSystem(c.Log)
	c.server = &wire.Server{Addr: c.Settings.Peer, Secret: c.Settings.Secret, Log: c.Log}
	if err := c.server.Register("Peer", Peer{c}); err != nil {
		return err
	}
	c.startReplica()
	if err := c.server.Run(); err != nil {
		return err
	}
	go c.loop()
	go c.reportLoop()
	go c.repairLoop()
	return nil
}

// startReplica starts the actor with what the disk holds, and tries again
// while the disk fails.
func (c *Coordinator) startReplica() {
	for {
		r, err := c.open()
		if err == nil {
			c.mu.Lock()
			c.pid = c.actors.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return r }))
			c.mu.Unlock()
			return
		}
		c.Log.Error("the disk cannot be used", zap.Error(err))
		time.Sleep(restartDelay)
	}
}

// open loads the identity and the log. A damaged log is set aside: the
// replica starts over with a new identity and learns from the others.
func (c *Coordinator) open() (*Replica, error) {
	i := wal.Identity{Dir: filepath.Join(c.Settings.Data, "log"), Name: machineName(c.Settings.Peer)}
	if err := wal.MakeDir(i.Dir); err != nil {
		return nil, err
	}
	id, err := i.Load()
	if err != nil {
		return nil, err
	}
	if id == "" && c.founds() {
		if err := i.Bootstrap(); err != nil {
			return nil, err
		}
		id = wal.BootstrapID(i.Name)
	}
	disk := &wal.Log{Dir: i.Dir}
	if id != "" && !disk.Exists() {
		return nil, c.setAside(i, wal.Damaged{Path: i.Dir, Reason: "the folder has an identity but no log"})
	}
	d, err := disk.Open()
	var bad wal.Damaged
	if errors.As(err, &bad) {
		return nil, c.setAside(i, bad)
	}
	if err != nil {
		return nil, err
	}
	if id == "" {
		if id, err = i.Create(); err != nil {
			return nil, err
		}
	}
	c.disk = disk
	return c.replica(id, d), nil
}

func (c *Coordinator) setAside(i wal.Identity, cause error) error {
	if err := i.SetAside(); err != nil {
		return errors.Wrap(err, cause.Error())
	}
	return cause
}

func (c *Coordinator) replica(id string, d replica.PersistentState) *Replica {
	return &Replica{
		ID: id, Settings: c.Settings, Clock: c.clock, Log: c.Log, Stored: d, Translate: c.Translate,
		Storage: replica.Storage{Save: c.save, SaveSnapshot: c.saveSnapshot},
		Send:    c.send, Failed: c.fail, LeaderChanged: c.kick,
		Respond: func(p *actor.PID, m any) { c.actors.Root.Send(p, m) },
	}
}

// founds reports whether this process is one of the first replicas.
func (c *Coordinator) founds() bool {
	if !c.Settings.Bootstrap {
		return false
	}
	for _, a := range c.Settings.Seeds {
		if a == c.Settings.Peer {
			return true
		}
	}
	return false
}

func (c *Coordinator) save(v replica.Vote, e []replica.Entry) error {
	err := c.disk.Save(v, e)
	if err != nil {
		c.fail(err)
	}
	return err
}

func (c *Coordinator) saveSnapshot(s replica.Snapshot, v replica.Vote, e []replica.Entry) error {
	err := c.disk.SaveSnapshot(s, v, e)
	if err != nil {
		c.fail(err)
	}
	return err
}

// fail makes the replica start over: what the disk holds is known again only
// after it was read.
func (c *Coordinator) fail(err error) {
	select {
	case c.failed <- err:
	default:
	}
}

func (c *Coordinator) repairLoop() {
	for {
		select {
		case <-c.stopped:
			return
		case err := <-c.failed:
			c.restart(err)
		}
	}
}

func (c *Coordinator) restart(err error) {
	c.Log.Error("the replica starts over", zap.Error(err))
	_ = c.actors.Root.StopFuture(c.replicaPID()).Wait()
	c.disk.Close()
	var behind replica.StaleDisk
	if errors.As(err, &behind) {
		i := wal.Identity{Dir: filepath.Join(c.Settings.Data, "log"), Name: machineName(c.Settings.Peer)}
		if err := i.SetAside(); err != nil {
			c.Log.Error("the log cannot be set aside", zap.Error(err))
		}
	}
	select {
	case <-c.failed:
	default:
	}
	time.Sleep(restartDelay)
	c.startReplica()
}

func (c *Coordinator) replicaPID() *actor.PID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pid
}

func (c *Coordinator) send(l []replica.Message, m replica.Members) {
	for _, x := range l {
		a := m.Address(x.To)
		if a == "" {
			v, _ := c.leaders.Load(x.To)
			a, _ = v.(string)
		}
		if a != "" {
			c.outbox.Send(a, x)
		}
	}
}

func (c *Coordinator) loop() {
	for {
		select {
		case <-c.stopped:
			return
		case <-time.After(tickInterval.Duration()):
			c.actors.Root.Send(c.replicaPID(), &tick{})
		}
	}
}

// kick asks for a report at once.
func (c *Coordinator) kick() {
	select {
	case c.kicks <- struct{}{}:
	default:
	}
}

// reportLoop talks to the leader.
func (c *Coordinator) reportLoop() {
	// A process that has just started learns at once who leads.
	c.kick()
	for {
		select {
		case <-c.stopped:
			return
		case <-c.kicks:
		case <-time.After(reportInterval.Duration()):
		}
		p, err := ask[prepared](c, &prepare{})
		if err != nil || p.Led {
			continue
		}
		for _, a := range p.To {
			if c.reportTo(a, p.Args) {
				break
			}
		}
	}
}

// reportTo reports to one process and tells whether it leads.
func (c *Coordinator) reportTo(addr string, a ReportArgs) bool {
	m := &reported{SentAt: c.clock.Now()}
	if err := c.pool.Get(addr).Call("Peer.Report", a, &m.Reply, callTimeout); err != nil {
		// The next round asks again, or another process.
		return false
	}
	if m.Reply.LeaderID != "" && m.Reply.Leader != "" {
		c.leaders.Store(m.Reply.LeaderID, m.Reply.Leader)
	}
	if !m.Reply.Led && m.Reply.Leader != "" && m.Reply.Leader != addr && m.Reply.Leader != c.Settings.Peer {
		m.SentAt = c.clock.Now()
		l := m.Reply.Leader
		m.Reply = ReportReply{}
		if err := c.pool.Get(l).Call("Peer.Report", a, &m.Reply, callTimeout); err != nil {
			return false
		}
	}
	c.actors.Root.Send(c.replicaPID(), m)
	if m.Reply.Led && !m.Reply.Proven {
		time.AfterFunc(provenRetry.Duration(), c.kick)
	}
	return m.Reply.Led
}

// Stop ends the process. Nothing is lost: every answer was synced before.
func (c *Coordinator) Stop() {
	close(c.stopped)
	c.server.Close()
	_ = c.actors.Root.StopFuture(c.replicaPID()).Wait()
	c.disk.Close()
}

func ask[T any](c *Coordinator, m any) (T, error) {
	v, err := c.actors.Root.RequestFuture(c.replicaPID(), m, askTimeout.Duration()).Result()
	t, ok := v.(T)
	if err != nil || !ok {
		return t, Unavailable{Cause: "the replica does not answer"}
	}
	return t, nil
}
