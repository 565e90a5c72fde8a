// Package soak runs a fleet as separate processes on this machine, injects
// random faults from outside, and checks the fleet's promises by what callers,
// targets and operators observe.
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

// The fleet of a run. Cores are its control processes, edges its hosts.
const (
	cores   = 5
	edges   = 4
	targets = 8
	callers = 6
	zones   = 3

	// The second byte of IP addresses is firstNet plus the seed modulo
	// seedNets, the third is coreNet or edgeNet.
	firstNet = 10
	seedNets = 200
	coreNet  = 1
	edgeNet  = 2

	// unlimited and limited are the names of the two accounts. limitedRate is
	// in requests a second, limitedBurst in requests.
	unlimited    = "club"
	limited      = "plant"
	limitedRate  = 20
	limitedBurst = 20

	readyWithin = 20 * time.Second
	// Within recoverWithin of the last fault, a period of recoverFor must begin
	// in which at least recoverShare of the requests are served.
	recoverWithin = 15 * time.Second
	recoverFor    = 3 * time.Second
	recoverShare  = 0.25
	// requestTimeout bounds the requests to control processes and the requests
	// that check whether a host is ready.
	requestTimeout = time.Second
	pollInterval   = 50 * time.Millisecond
)

// accountOf returns the account of a key.
func accountOf(key string) string {
	if key == limited+"-key" {
		return limited
	}
	return unlimited
}

// Soak is one soak run.
type Soak struct {
	// Binary is the path of the carawayrack program, Dir an empty folder.
	Binary, Dir string
	Seed        int64
	// Duration is the time for which faults are injected.
	Duration time.Duration

	random  *rand.Rand
	ledger  *Ledger
	cores   []*Process
	edges   []*Process
	callers []*caller
	client  platform.Client
	// activeFaults is used to wait for the faults that are still active.
	activeFaults sync.WaitGroup
	// lastDiskLoss is the time at which loseDisk last emptied a disk.
	lastDiskLoss time.Time

	mu      sync.Mutex
	targets []*target
	version uint64
	// acked is the highest configuration version that was acknowledged.
	acked uint64
	// keys holds all keys that accounts have had, including the withdrawn ones.
	keys           []string
	targetsCreated int
}

// Report is the result of a run.
type Report struct {
	Seed         int64
	Sent, Served int64
	Faults       []string
	Violations   []Violation
}

// Run starts the fleet, injects faults and checks the promises. It returns an
// error only if the fleet did not start; broken promises are in the report.
func (s *Soak) Run() (Report, error) {
	s.random = rand.New(rand.NewSource(s.Seed))
	s.ledger = newLedger()
	s.client = platform.Client{HTTP: &http.Client{Timeout: requestTimeout}}
	s.keys = []string{"club-1", limited + "-key"}
	defer s.close()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	o := &rolloutOrder{soak: s}
	if s.Seed >= extendedSeed && s.Seed%rolloutEvery == 0 {
		s.activeFaults.Add(1)
		go o.run()
	}
	f := s.disturb()
	s.activeFaults.Wait()
	if o.state != "" {
		f = append(f, "a roll-out ended as "+string(o.state))
	}
	s.checkRecovery()
	s.checkConfiguration()
	s.close()
	r := Report{Seed: s.Seed, Faults: f, Violations: s.ledger.check()}
	for _, c := range s.callers {
		r.Sent += c.sent.Load()
		r.Served += c.served.Load()
	}
	return r, nil
}

// ip returns a loopback address that depends on the seed, so that runs with
// different seeds can go on at the same time, unless the seeds differ by a
// multiple of seedNets.
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
		if err := s.addTarget(""); err != nil {
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
	return &Process{Role: role, Violate: s.ledger.violate, Binary: s.Binary, Dir: s.Dir, Node: platform.Node{
		Name: fmt.Sprintf("%s-%d", role, i), IP: ip, Zone: zone(i), Seeds: seeds, Data: data, Bootstrap: data != "",
		Bounds: []string{"revocationMs=5000", "retryBudgetRatio=0.2", "retryBudgetSlack=60", "budgetWindowS=10", "gracePeriodS=6"},
	}}
}

// NotReady is the error of a host that did not become ready within readyWithin.
type NotReady struct{ Host string }

// Error describes the failure.
func (e NotReady) Error() string { return "soak: " + e.Host + " did not become ready" }

func (s *Soak) awaitReady() error {
	for _, p := range s.edges {
		for end := time.Now().Add(readyWithin); !s.ready(p); time.Sleep(pollInterval) {
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
	n := callers
	if s.Seed >= extendedSeed {
		n += extendedCallers
	}
	for i := 0; i < n; i++ {
		c := &caller{
			name: fmt.Sprintf("c%d", i), seed: s.Seed*100 + int64(i), ledger: s.ledger, directory: d,
			keys: s.callerKeys, extended: i >= callers, stopped: make(chan struct{}), ended: make(chan struct{}),
		}
		for k := 0; k < zones; k++ {
			c.zones = append(c.zones, zone(k))
		}
		s.callers = append(s.callers, c)
		go c.run()
	}
}

func (s *Soak) callerKeys() []string {
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

// addTarget starts a target of a version.
func (s *Soak) addTarget(version string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetsCreated++
	t := &target{ledger: s.ledger, cores: s.controls(), seed: s.Seed*1000 + int64(s.targetsCreated)}
	t.spec = catalog.Target{ID: fmt.Sprintf("t%d", s.targetsCreated), Zone: zone(s.targetsCreated), Version: version}
	s.targets = append(s.targets, t)
	return t.start()
}

// configure sends the next configuration version until a control process
// acknowledges it. Each round tries all control processes one after the other; no
// round starts after readyWithin. It reports whether one acknowledged the version.
func (s *Soak) configure() bool {
	s.mu.Lock()
	s.version++
	c := s.config()
	s.mu.Unlock()
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(pollInterval) {
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

// config returns the newest version of the configuration. The caller holds mu.
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
	if s.Seed >= extendedSeed {
		c.Routes = append(c.Routes, extendedRoutes(p)...)
	}
	for _, k := range s.keys {
		if accountOf(k) == unlimited && s.ledger.inForce(k) {
			c.Accounts[0].Keys = append(c.Accounts[0].Keys, k)
		}
	}
	return c
}

// checkRecovery checks that requests are served again once all faults are over.
func (s *Soak) checkRecovery() {
	for end := time.Now().Add(recoverWithin); time.Now().Before(end); {
		served, sent := s.counts()
		time.Sleep(recoverFor)
		servedAfter, sentAfter := s.counts()
		if sentAfter > sent && float64(servedAfter-served) >= recoverShare*float64(sentAfter-sent) {
			return
		}
	}
	s.ledger.violate("recovery", "fewer than %v of the requests are served %v after the last fault", recoverShare, recoverWithin)
}

func (s *Soak) counts() (served, sent int64) {
	for _, c := range s.callers {
		served += c.served.Load()
		sent += c.sent.Load()
	}
	return served, sent
}

// checkConfiguration checks that the configuration can be read after the last
// fault and is not older than the highest acknowledged version.
func (s *Soak) checkConfiguration() {
	for end := time.Now().Add(recoverWithin); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, a := range s.controls() {
			if c, err := s.client.Configuration(a); err == nil {
				s.checkVersion(c, s.acked)
				return
			}
		}
	}
	s.ledger.violate("configuration", "it could not be read after the last fault")
}

func (s *Soak) checkVersion(c *catalog.Config, acked uint64) {
	if c.Version < acked {
		s.ledger.violate("configuration", "read version %d, but version %d was acknowledged", c.Version, acked)
	}
}

// close stops the callers, the processes and the targets that are not leaving.
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
