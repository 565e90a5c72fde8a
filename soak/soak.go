// Package soak runs the programs as separate processes on this machine, breaks
// them at random from outside, and checks what was promised by what callers,
// targets and operators see.
package soak

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/platform"
)

const (
	cores   = 5
	edges   = 4
	targets = 8
	callers = 6
	zones   = 3

	// firstNet and seedNets bound the second part of addresses, coreNet and
	// edgeNet are the third.
	firstNet = 10
	seedNets = 200
	coreNet  = 1
	edgeNet  = 2

	unlimited    = "club"
	limited      = "plant"
	limitedRate  = 20
	limitedBurst = 20

	readyWithin = 20 * time.Second
	// recoverWithin is the time from the last fault until requests must be
	// served again, recoverShare the share of them.
	recoverWithin = 15 * time.Second
	recoverFor    = 3 * time.Second
	recoverShare  = 0.25
	orderWithin   = time.Second
	orderPause    = 50 * time.Millisecond
)

// holderOf returns the account of a key.
func holderOf(key string) string {
	if key == limited+"-key" {
		return limited
	}
	return unlimited
}

// Soak is one run.
type Soak struct {
	// Binary is the carawayrack program, Dir an empty folder.
	Binary, Dir string
	Seed        int64
	// Duration is how long faults go on.
	Duration time.Duration

	random  *rand.Rand
	ledger  *Ledger
	cores   []*Process
	edges   []*Process
	callers []*caller
	client  platform.Client
	// work ends the faults that are under way.
	work sync.WaitGroup
	// wiped is when a disk was lost last.
	wiped time.Time

	mu      sync.Mutex
	targets []*target
	version uint64
	// acked is the highest version that was acknowledged.
	acked uint64
	keys  []string
	made  int
}

// Report tells what a run did.
type Report struct {
	Seed         int64
	Sent, Served int64
	Faults       []string
	Violations   []Violation
}

// Run starts the fleet, breaks it and checks. An error means that the run
// itself failed.
func (s *Soak) Run() (Report, error) {
	s.random = rand.New(rand.NewSource(s.Seed))
	s.ledger = newLedger()
	s.client = platform.Client{HTTP: &http.Client{Timeout: orderWithin}}
	s.keys = []string{"club-1", limited + "-key"}
	defer s.close()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	f := s.disturb()
	s.work.Wait()
	s.checkRecovery()
	s.checkConfiguration()
	s.close()
	r := Report{Seed: s.Seed, Faults: f, Violations: s.ledger.check()}
	for _, c := range s.callers {
		r.Sent += c.all.Load()
		r.Served += c.good.Load()
	}
	return r, nil
}

// ip returns an address of the loopback network, so that runs with other seeds
// can go on at the same time.
func (s *Soak) ip(net, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstNet+s.Seed%seedNets, net, i+1)
}

func zone(i int) string { return fmt.Sprintf("z%d", i%zones) }

func (s *Soak) start() error {
	var seeds []string
	for i := 0; i < 3; i++ {
		seeds = append(seeds, s.ip(coreNet, i))
	}
	for i := 0; i < cores; i++ {
		d := filepath.Join(s.Dir, fmt.Sprintf("data%d", i))
		if err := os.MkdirAll(d, 0o700); err != nil {
			return errors.Wrap(err, "soak.start")
		}
		s.cores = append(s.cores, s.process("core", i, s.ip(coreNet, i), d, seeds))
	}
	for i := 0; i < edges; i++ {
		s.edges = append(s.edges, s.process("edge", i, s.ip(edgeNet, i), "", seeds))
	}
	for _, p := range append(append([]*Process{}, s.cores...), s.edges...) {
		if err := p.Start(); err != nil {
			return err
		}
	}
	s.configure()
	for i := 0; i < targets; i++ {
		if err := s.addTarget(); err != nil {
			return err
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	s.startCallers()
	return nil
}

func (s *Soak) process(role string, i int, ip, data string, seeds []string) *Process {
	return &Process{Role: role, Binary: s.Binary, Dir: s.Dir, Node: platform.Node{
		Name: fmt.Sprintf("%s-%d", role, i), IP: ip, Zone: zone(i), Seeds: seeds, Data: data, Bootstrap: data != "",
		Bounds: []string{"revocationMs=5000", "retryBudgetRatio=0.2", "retryBudgetSlack=60", "budgetWindowS=10", "gracePeriodS=6"},
	}}
}

// NotReady is the error of a fleet that did not start to serve.
type NotReady struct{ Host string }

// Error describes the failure.
func (e NotReady) Error() string { return "soak: " + e.Host + " did not become ready" }

func (s *Soak) awaitReady() error {
	for _, p := range s.edges {
		for end := time.Now().Add(readyWithin); !s.ready(p); time.Sleep(orderPause) {
			if time.Now().After(end) {
				return errors.WithStack(NotReady{p.Node.Name})
			}
		}
	}
	return nil
}

func (s *Soak) ready(p *Process) bool {
	r, err := s.client.HTTP.Get("http://" + p.Node.Ready() + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (s *Soak) startCallers() {
	var d []string
	for _, p := range s.edges {
		d = append(d, p.Node.Directory())
	}
	for i := 0; i < callers; i++ {
		c := &caller{
			name: fmt.Sprintf("c%d", i), seed: s.Seed*100 + int64(i), ledger: s.ledger, directory: d,
			keys: s.usedKeys, stopped: make(chan struct{}), ended: make(chan struct{}),
		}
		for k := 0; k < zones; k++ {
			c.zones = append(c.zones, zone(k))
		}
		s.callers = append(s.callers, c)
		go c.run()
	}
}

func (s *Soak) usedKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.keys...)
}

func (s *Soak) controls() []string {
	var l []string
	for _, p := range s.cores {
		l = append(l, p.Node.Control())
	}
	return l
}

func (s *Soak) addTarget() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made++
	t := &target{ledger: s.ledger, cores: s.controls(), seed: s.Seed*1000 + int64(s.made)}
	t.about = catalog.Target{ID: fmt.Sprintf("t%d", s.made), Zone: zone(s.made)}
	s.targets = append(s.targets, t)
	return t.start()
}

// configure sends the next version until it is acknowledged, or for as long
// as an operator would, and returns whether it was.
func (s *Soak) configure() bool {
	s.mu.Lock()
	s.version++
	c := s.config()
	s.mu.Unlock()
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(orderPause) {
		for _, a := range s.controls() {
			if s.client.Configure(a, c) != nil {
				continue
			}
			s.mu.Lock()
			s.acked = max(s.acked, c.Version)
			s.mu.Unlock()
			return true
		}
	}
	return false
}

// config returns the configuration in its newest version; the caller holds mu.
func (s *Soak) config() *catalog.Config {
	p := []catalog.Part{{Service: service, Weight: 1}}
	c := &catalog.Config{
		Version:  s.version,
		Services: []catalog.Service{{Name: service, Connections: 100}},
		Accounts: []catalog.Account{
			{Name: unlimited, Priority: -1},
			{Name: limited, Keys: []string{limited + "-key"}, Priority: -1, Rate: limitedRate, Burst: limitedBurst},
		},
		Routes: []catalog.Route{
			{Name: "read", Host: host, Prefix: safePath, Kind: catalog.Idempotent, Timeout: 2 * clock.Second, Objective: clock.Second / 2, Attempts: 2, Parts: p},
			{Name: "file", Host: host, Prefix: unsafePath, Kind: catalog.Unsafe, Timeout: 2 * clock.Second, Objective: clock.Second / 2, Attempts: 2, Parts: p},
		},
	}
	for _, k := range s.keys {
		if holderOf(k) == unlimited && s.ledger.inForce(k) {
			c.Accounts[0].Keys = append(c.Accounts[0].Keys, k)
		}
	}
	return c
}

// checkRecovery finds out whether requests are served once faults are over.
func (s *Soak) checkRecovery() {
	for end := time.Now().Add(recoverWithin); time.Now().Before(end); {
		good, all := s.counts()
		time.Sleep(recoverFor)
		g, a := s.counts()
		if a > all && float64(g-good) >= recoverShare*float64(a-all) {
			return
		}
	}
	s.ledger.violate("recovery", "fewer than %v of the requests are served %v after the last fault", recoverShare, recoverWithin)
}

func (s *Soak) counts() (good, all int64) {
	for _, c := range s.callers {
		good += c.good.Load()
		all += c.all.Load()
	}
	return good, all
}

// checkConfiguration reads back what was acknowledged.
func (s *Soak) checkConfiguration() {
	for end := time.Now().Add(recoverWithin); time.Now().Before(end); time.Sleep(orderPause) {
		for _, a := range s.controls() {
			if c, err := s.client.Configuration(a); err == nil {
				s.compare(c, s.acked)
				return
			}
		}
	}
	s.ledger.violate("configuration", "it cannot be read after the last fault")
}

func (s *Soak) compare(c *catalog.Config, acked uint64) {
	if c.Version < acked {
		s.ledger.violate("configuration", "version %d is read, %d was acknowledged", c.Version, acked)
	}
}

func (s *Soak) close() {
	for _, c := range s.callers {
		select {
		case <-c.stopped:
		default:
			close(c.stopped)
		}
		<-c.ended
	}
	for _, p := range append(append([]*Process{}, s.cores...), s.edges...) {
		if p.cmd != nil && !p.Ended() {
			p.Kill()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		if !t.leaving.Load() {
			t.stop()
		}
	}
	s.targets = nil
}
