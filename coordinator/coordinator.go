// Package coordinator runs a control process of a deployment. It holds a
// replica of the catalog, sends the state and the list of processes to hosts,
// and lends them the tokens of client accounts.
package coordinator

import (
	"path/filepath"
	"sync"
	"sync/atomic"
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

// Coordinator is a control process. Run starts it.
type Coordinator struct {
	Settings Settings
	Log      *zap.Logger
	// Translate parses a configuration document.
	Translate func([]byte) (*catalog.Config, error)
	// Wall reads the time of day. The default is the system's wall clock.
	Wall clock.Clock

	clock  clock.Clock
	actors *actor.ActorSystem
	server *wire.Server
	pool   *wire.Pool
	outbox *wire.Outbox[replica.Message]
	// announcer proposes the announcements of targets.
	announcer *announcer

	mu   sync.Mutex
	pid  *actor.PID
	disk *wal.Log
	// leaderAddrs holds the addresses of leaders by replica ID, as other
	// processes reported them. A process that joins needs them before it has
	// the membership.
	leaderAddrs sync.Map
	// joining holds the address of the leader that this process has reported to while
	// it was no member, empty once it is one.
	joining atomic.Value
	stopped chan struct{}
	// failed holds the error for which the replica must restart.
	failed chan error
	// leaving is true while the process stops. It then reports no more, since the
	// leader would admit it again.
	leaving atomic.Bool
	// reportRequests makes reportLoop send a report at once.
	reportRequests chan struct{}
}

// restartDelay is the pause before a replica restarts after a failure, and
// between attempts to open its disk.
const restartDelay = 300 * time.Millisecond

// Run starts the replica from its disk, then the server for hosts and other
// control processes. It blocks until the disk can be opened, and returns an
// error if the server cannot start.
func (c *Coordinator) Run() error {
	c.clock = clock.Boot()
	if c.Wall.Read == nil {
		c.Wall = clock.Wall()
	}
	c.stopped = make(chan struct{})
	c.failed = make(chan error, 1)
	c.reportRequests = make(chan struct{}, 1)
	c.pool = &wire.Pool{Secret: c.Settings.Secret}
	c.outbox = &wire.Outbox[replica.Message]{Pool: c.pool, Method: "Peer.Deliver"}
	c.actors = logs.NewActorSystem(c.Log)
	c.server = &wire.Server{Addr: c.Settings.Peer, Secret: c.Settings.Secret, Log: c.Log}
	if err := c.server.Register("Peer", Peer{c}); err != nil {
		return err
	}
	c.announcer = &announcer{Submit: c.submit, Stopped: c.stopped}
	c.announcer.Run()
	c.startReplica()
	if err := c.server.Run(); err != nil {
		return err
	}
	c.publishRollouts()
	go c.loop()
	go c.reportLoop()
	go c.restartLoop()
	return nil
}

// startReplica starts the actor with the state on the disk. It retries until
// the disk can be opened.
func (c *Coordinator) startReplica() {
	for {
		r, err := c.openReplica()
		if err == nil {
			c.mu.Lock()
			c.pid = c.actors.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return r }))
			c.mu.Unlock()
			return
		}
		c.Log.Error("opening the replica's disk failed", zap.Error(err))
		time.Sleep(restartDelay)
	}
}

// openReplica loads the identity and the log. A damaged log is set aside and
// returned as an error: the next call then finds an empty folder, and the
// replica gets a new identity, also if it bootstrapped before, and receives the
// state from the others. Under the old one it might vote twice.
func (c *Coordinator) openReplica() (*Replica, error) {
	i := wal.Identity{Dir: filepath.Join(c.Settings.Data, "log"), Name: machineName(c.Settings.Peer)}
	if err := wal.MakeDir(i.Dir); err != nil {
		return nil, err
	}
	id, err := i.Load()
	if err != nil {
		return nil, err
	}
	if id == "" && c.bootstraps() && !i.WasSetAside() {
		if err := i.Bootstrap(firstMembers(c.Settings.Seeds)); err != nil {
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
	return c.newReplica(id, d), nil
}

// setAside moves the damaged log away and returns cause, or the error of the
// move with cause as its context.
func (c *Coordinator) setAside(i wal.Identity, cause error) error {
	if err := i.SetAside(); err != nil {
		return errors.Wrap(err, cause.Error())
	}
	return cause
}

func (c *Coordinator) newReplica(id string, d replica.PersistentState) *Replica {
	return &Replica{
		ID: id, Settings: c.Settings, Clock: c.clock, Wall: c.Wall, Log: c.Log, Stored: d, Translate: c.Translate,
		Storage: replica.Storage{Save: c.save, SaveSnapshot: c.saveSnapshot},
		Send:    c.send, Failed: c.fail, LeaderChanged: c.reportNow,
		Respond: func(p *actor.PID, m any) { c.actors.Root.Send(p, m) },
	}
}

// bootstraps reports whether this process belongs to the first membership: the
// fleet starts for the first time, and the process is one of the seeds.
func (c *Coordinator) bootstraps() bool {
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

// fail makes the replica restart. After a failed write only reading the disk
// again shows what it holds.
func (c *Coordinator) fail(err error) {
	select {
	case c.failed <- err:
	default:
	}
}

func (c *Coordinator) restartLoop() {
	for {
		select {
		case <-c.stopped:
			return
		case err := <-c.failed:
			c.restart(err)
		}
	}
}

// restart stops the actor and starts a new one from the disk. If the disk lacks
// entries that the replica has acknowledged, its log is set aside first.
func (c *Coordinator) restart(err error) {
	c.Log.Error("the replica starts over", zap.Error(err))
	_ = c.actors.Root.StopFuture(c.replicaPID()).Wait()
	c.disk.Close()
	var stale replica.StaleDisk
	if errors.As(err, &stale) {
		i := wal.Identity{Dir: filepath.Join(c.Settings.Data, "log"), Name: machineName(c.Settings.Peer)}
		if err := i.SetAside(); err != nil {
			c.Log.Error("setting the log aside failed", zap.Error(err))
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

// send sends messages to replicas, and drops those to replicas whose address is
// unknown.
func (c *Coordinator) send(l []replica.Message, m replica.Members) {
	for _, x := range l {
		a := m.Address(x.To)
		if a == "" {
			v, _ := c.leaderAddrs.Load(x.To)
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

// reportNow makes reportLoop send a report at once.
func (c *Coordinator) reportNow() {
	select {
	case c.reportRequests <- struct{}{}:
	default:
	}
}

// reportLoop reports to the leader every reportInterval and on request. As
// long as no leader is known, it tries the other control processes in turn.
func (c *Coordinator) reportLoop() {
	// A process that has just started needs the leader at once.
	c.reportNow()
	for {
		select {
		case <-c.stopped:
			return
		case <-c.reportRequests:
		case <-time.After(reportInterval.Duration()):
		}
		if c.leaving.Load() {
			continue
		}
		p, err := request[preparedReport](c, &prepareReport{})
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

// reportTo sends a report to addr, and to the leader instead if the reply names
// another process. It returns whether the leader replied.
func (c *Coordinator) reportTo(addr string, a ReportArgs) bool {
	m := &reportResult{SentAt: c.clock.Now()}
	if err := c.pool.Get(addr).Call("Peer.Report", a, &m.Reply, callTimeout); err != nil {
		// reportLoop tries the next address, or reports again after
		// reportInterval.
		return false
	}
	if m.Reply.LeaderID != "" && m.Reply.Leader != "" {
		c.leaderAddrs.Store(m.Reply.LeaderID, m.Reply.Leader)
	}
	if !m.Reply.Led && m.Reply.Leader != "" && m.Reply.Leader != addr && m.Reply.Leader != c.Settings.Peer {
		m.SentAt = c.clock.Now()
		addr = m.Reply.Leader
		m.Reply = ReportReply{}
		if err := c.pool.Get(addr).Call("Peer.Report", a, &m.Reply, callTimeout); err != nil {
			return false
		}
	}
	if m.Reply.Led && m.Reply.Member {
		addr = ""
	}
	if m.Reply.Led {
		c.joining.Store(addr)
	}
	c.actors.Root.Send(c.replicaPID(), m)
	if m.Reply.Led && !m.Reply.Proven {
		time.AfterFunc(proofRetryDelay.Duration(), c.reportNow)
	}
	return m.Reply.Led
}

// Stop leaves the voters and ends the process. No acknowledged change is lost: it
// was synced before it was acknowledged. A voter that ended for good would count
// in every majority until the leader notices, so that the loss of one more disk
// in that time could leave no majority for ever.
func (c *Coordinator) Stop() {
	c.leaving.Store(true)
	c.leave()
	close(c.stopped)
	c.server.Close()
	_ = c.actors.Root.StopFuture(c.replicaPID()).Wait()
	c.disk.Close()
}

// leave asks the leader to remove this process from the voters, for up to
// leaveTimeout.
func (c *Coordinator) leave() {
	end := c.clock.Now() + leaveTimeout
	for c.clock.Now() < end {
		if c.tryLeave() {
			return
		}
		time.Sleep(leaveInterval.Duration())
	}
	c.Log.Warn("the process ends as a voter")
}

// tryLeave sends one request to leave and reports whether the process may end.
func (c *Coordinator) tryLeave() bool {
	r, err := request[LeaveReply](c, &leave{})
	if err != nil || r.Done || r.Leader == "" || r.Leader == c.Settings.Peer {
		return err == nil && r.Done
	}
	var l LeaveReply
	err = c.pool.Get(r.Leader).Call("Peer.Leave", LeaveArgs{r.ID}, &l, callTimeout)
	return err == nil && l.Done
}

// request sends a message to the replica actor and returns its response. The
// error is Unavailable if there is none within requestTimeout.
func request[T any](c *Coordinator, m any) (T, error) {
	v, err := c.actors.Root.RequestFuture(c.replicaPID(), m, requestTimeout.Duration()).Result()
	t, ok := v.(T)
	if err != nil || !ok {
		return t, Unavailable{Cause: "the replica does not answer"}
	}
	return t, nil
}
