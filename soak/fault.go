package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/carawayrack/carawayrack/clock"
)

// fault is one kind of fault to inject. Several faults can be active at once.
type fault struct {
	name string
	// weight is the relative frequency.
	weight int
	// process is true if the fault disturbs a process of the fleet.
	process bool
	// run injects the fault. pick is a random number that selects a process or
	// target, hold is the duration of faults that last.
	run func(s *Soak, pick int, hold time.Duration)
}

var faults = []fault{
	{"kill a control process", 3, true, func(s *Soak, k int, d time.Duration) { s.restart(s.cores[k%cores], d, nil) }},
	{"freeze a control process", 3, true, func(s *Soak, k int, d time.Duration) { s.freeze(s.cores[k%cores], d) }},
	{"lose a disk", 1, true, (*Soak).loseDisk},
	{"tear a log", 1, true, func(s *Soak, k int, d time.Duration) {
		p := s.cores[k%cores]
		s.restart(p, d, func() error { return p.Tear([]byte{1, 2, 3, 4, 5, 6, 7}) })
	}},
	{"kill all control processes", 1, true, func(s *Soak, _ int, d time.Duration) { s.killAllCores(d) }},
	{"kill a host", 3, true, func(s *Soak, k int, d time.Duration) { s.restart(s.edges[k%edges], d, nil) }},
	{"freeze a host", 2, true, func(s *Soak, k int, d time.Duration) { s.freeze(s.edges[k%edges], d) }},
	{"stop a host", 2, true, func(s *Soak, k int, d time.Duration) { s.stopProcess(s.edges[k%edges], d) }},
	{"reload a host", 1, false, func(s *Soak, k int, _ time.Duration) { s.edges[k%edges].Signal(syscall.SIGHUP) }},
	{"cut a target off one way", 3, false, func(s *Soak, k int, d time.Duration) {
		t := s.anyTarget(k)
		defer s.disturbing(t.spec.ID)()
		t.proxy.Cut(k%2 == 0, k%2 == 1)
		time.Sleep(d)
		t.proxy.Cut(false, false)
	}},
	{"silence connections of a target", 2, false, func(s *Soak, k int, _ time.Duration) {
		t := s.anyTarget(k)
		s.ledger.disturb(t.spec.ID)
		t.proxy.SilenceOpen()
	}},
	{"delay a target", 2, false, func(s *Soak, k int, d time.Duration) {
		t := s.anyTarget(k)
		defer s.disturbing(t.spec.ID)()
		t.proxy.Delay(clock.Millis(50 + k%250))
		time.Sleep(d)
		t.proxy.Delay(0)
	}},
	{"make a target gray", 4, false, func(s *Soak, k int, d time.Duration) {
		t := s.anyTarget(k)
		defer s.disturbing(t.spec.ID)()
		t.gray.Store(true)
		time.Sleep(d)
		t.gray.Store(false)
	}},
	{"replace a target", 2, false, (*Soak).replaceTarget},
	{"change the configuration", 3, false, func(s *Soak, _ int, _ time.Duration) { s.configure() }},
	{"read the configuration", 2, false, (*Soak).readConfiguration},
	{"withdraw a key", 1, false, (*Soak).withdraw},
}

// coreFaults are injected as well by runs whose seed is at least coreFaultSeed. The others
// keep the faults of their seed.
var coreFaults = []fault{
	{"fill the disk of a control process", 2, true, func(s *Soak, k int, d time.Duration) { s.fillDisk(s.cores[k%cores], d) }},
	{"stop a control process", 2, true, func(s *Soak, k int, d time.Duration) { s.stopProcess(s.cores[k%cores], d) }},
	{"restart a control process with other seeds", 2, true, func(s *Soak, k int, d time.Duration) {
		p := s.cores[k%cores]
		s.restart(p, d, func() error {
			// Its own address is not among them, as after a long absence.
			p.Node.Seeds = []string{s.ip(coreNet, (k+1)%cores), s.ip(coreNet, (k+2)%cores)}
			return nil
		})
	}},
}

// coreFaultSeed is the first seed of runs with coreFaults.
const coreFaultSeed = 2000

const (
	// The pause between the starts of two faults, and the hold of a fault, in ms.
	minPause, maxPause = 100, 900
	minHold, maxHold   = 200, 2500
	// diskLossInterval is the least time between two lost disks, so that another
	// copy of the lost data can be made in between.
	diskLossInterval = 10 * time.Second
)

// disturb starts faults at random until Duration has passed and returns a
// description of each.
func (s *Soak) disturb() []string {
	var names []string
	kinds := faults
	if s.Seed >= coreFaultSeed {
		kinds = append(append([]fault(nil), faults...), coreFaults...)
	}
	sum := 0
	for _, f := range kinds {
		sum += f.weight
	}
	for end := time.Now().Add(s.Duration); time.Now().Before(end); {
		k := s.random.Intn(sum)
		i := 0
		for ; k >= kinds[i].weight; i++ {
			k -= kinds[i].weight
		}
		f := &kinds[i]
		hold := time.Duration(minHold+s.random.Intn(maxHold-minHold)) * time.Millisecond
		names = append(names, fmt.Sprintf("%d ms: %s for %v", s.ledger.now(), f.name, hold))
		s.activeFaults.Add(1)
		go s.run(f, s.random.Intn(1000), hold)
		time.Sleep(time.Duration(minPause+s.random.Intn(maxPause-minPause)) * time.Millisecond)
	}
	return names
}

// run injects one fault and waits until it is over.
func (s *Soak) run(f *fault, pick int, hold time.Duration) {
	defer s.activeFaults.Done()
	if f.process {
		s.ledger.addFault()
		defer s.ledger.addFault()
	}
	f.run(s, pick, hold)
}

// disturbing records that a fault of a host or a target begins. The function that it
// returns records that it ends.
func (s *Soak) disturbing(name string) func() {
	s.ledger.disturb(name)
	return func() { s.ledger.disturb(name) }
}

// restart kills a process, calls change unless it is nil, and starts the process
// again after d.
func (s *Soak) restart(p *Process, d time.Duration, change func() error) {
	p.busy.Lock()
	defer p.busy.Unlock()
	defer s.disturbing(p.Node.Callers())()
	p.Kill()
	if change != nil {
		if err := change(); err != nil {
			s.ledger.violate("soak", "%v", err)
		}
	}
	time.Sleep(d)
	s.startProcess(p)
}

func (s *Soak) startProcess(p *Process) {
	if err := p.Start(); err != nil {
		s.ledger.violate("soak", "%v", err)
	}
}

func (s *Soak) freeze(p *Process, d time.Duration) {
	p.busy.Lock()
	defer p.busy.Unlock()
	defer s.disturbing(p.Node.Callers())()
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.Signal(syscall.SIGCONT)
}

// fillDisk makes the files of a process take no more bytes for a while.
func (s *Soak) fillDisk(p *Process, d time.Duration) {
	p.busy.Lock()
	defer p.busy.Unlock()
	for _, full := range []bool{true, false} {
		if err := p.SetDiskFull(full); err != nil {
			s.ledger.violate("soak", "%v", err)
		}
		if full {
			time.Sleep(d)
		}
	}
}

// stopProcess stops a process as planned and starts it again after d.
func (s *Soak) stopProcess(p *Process, d time.Duration) {
	p.busy.Lock()
	defer p.busy.Unlock()
	defer s.disturbing(p.Node.Callers())()
	p.Stop()
	time.Sleep(d)
	s.startProcess(p)
}

// loseDisk empties the disk of one control process while all others run. It
// does nothing within diskLossInterval of the last lost disk.
func (s *Soak) loseDisk(k int, d time.Duration) {
	for _, p := range s.cores {
		p.busy.Lock()
		defer p.busy.Unlock()
	}
	if time.Since(s.lastDiskLoss) < diskLossInterval {
		return
	}
	s.lastDiskLoss = time.Now()
	p := s.cores[k%cores]
	p.Kill()
	if err := p.Wipe(); err != nil {
		s.ledger.violate("soak", "%v", err)
	}
	time.Sleep(d)
	s.startProcess(p)
}

func (s *Soak) killAllCores(d time.Duration) {
	for _, p := range s.cores {
		p.busy.Lock()
		defer p.busy.Unlock()
	}
	for _, p := range s.cores {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range s.cores {
		<-p.end()
	}
	time.Sleep(d / 2)
	for _, p := range s.cores {
		s.startProcess(p)
	}
}

func (s *Soak) anyTarget(k int) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[k%len(s.targets)]
}

// replaceTarget starts a target and makes another one of its version leave.
func (s *Soak) replaceTarget(k int, _ time.Duration) {
	if err := s.addTarget(s.anyTarget(k).spec.Version); err != nil {
		s.ledger.violate("soak", "%v", err)
		return
	}
	s.mu.Lock()
	i := k % (len(s.targets) - 1)
	t := s.targets[i]
	s.targets = append(s.targets[:i], s.targets[i+1:]...)
	s.mu.Unlock()
	t.leaving.Store(true)
}

// readConfiguration reads the configuration from one control process and checks
// that it is not older than the highest version acknowledged configWithin
// before. A failed read is no violation.
func (s *Soak) readConfiguration(k int, _ time.Duration) {
	s.mu.Lock()
	acked := s.acked
	s.mu.Unlock()
	time.Sleep(configWithin.Duration())
	if c, err := s.client.Configuration(s.controls()[k%cores]); err == nil {
		s.checkVersion(c, acked)
	}
}

// withdraw gives the unlimited account a new key and withdraws its current one.
// Callers keep using all keys.
func (s *Soak) withdraw(int, time.Duration) {
	s.mu.Lock()
	var old string
	for _, k := range s.keys {
		if accountOf(k) == unlimited && s.ledger.inForce(k) {
			old = k
		}
	}
	s.ledger.withdraw(old)
	s.keys = append(s.keys, fmt.Sprintf("club-%d", len(s.keys)+1))
	s.mu.Unlock()
	if s.configure() {
		s.ledger.revoke(old)
	}
}
