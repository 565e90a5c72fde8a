// Package lab starts a fleet of real processes on the loopback interface for
// experiments and integration tests.
package lab

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/operator"
)

// Fleet describes a fleet of control replicas and hosts and holds its processes.
type Fleet struct {
	// Binary is the path of the carawayrack program.
	Binary string
	// Dir holds settings, logs and data.
	Dir      string
	Hosts    int
	Zones    int
	Replicas int
	// Spares is the number of control replicas beyond those that bootstrap the
	// group. Start does not start them.
	Spares int
	// Timing holds the [timing] section of every host's settings, ControlTiming
	// that of every replica's.
	Timing        map[string]string
	ControlTiming map[string]string
	// DialAddr returns the address that process from dials to reach process to,
	// whose own address is addr. If nil, processes dial each other directly.
	DialAddr func(from, to, addr string) string

	// Processes holds the processes by name, set by Prepare.
	Processes map[string]*Process

	// nextPort is the port from which the search for a free one goes on.
	nextPort int
}

// Process is one process of a fleet.
type Process struct {
	Name string
	Zone string
	// Kind is control or host.
	Kind string
	// Peer, Admin and Callers are the addresses to listen on. A control replica
	// does not use Callers.
	Peer    string
	Admin   string
	Callers string
	fleet   *Fleet
	command *exec.Cmd
	ended   chan error
}

// Secret is the shared secret of every fleet that this package starts.
const Secret = "lab-secret"

// Timeout is the error of a condition that did not become true in time.
type Timeout struct{ Condition string }

// Error describes the failure.
func (e Timeout) Error() string { return "timed out waiting until " + e.Condition }

// Prepare assigns names and addresses to the processes and writes their settings
// and the secret to Dir.
func (f *Fleet) Prepare() error {
	f.Processes = map[string]*Process{}
	for i := 0; i < f.Replicas+f.Spares; i++ {
		f.add("control", fmt.Sprintf("c%d", i+1), i)
	}
	for i := 0; i < f.Hosts; i++ {
		f.add("host", fmt.Sprintf("h%d", i+1), i)
	}
	f.assignPorts()
	for _, p := range f.Processes {
		if err := os.WriteFile(p.settings(), []byte(f.render(p)), 0o600); err != nil {
			return errors.Wrap(err, "lab.Prepare")
		}
	}
	return errors.Wrap(os.WriteFile(filepath.Join(f.Dir, "secret"), []byte(Secret), 0o600), "lab.Prepare")
}

func (f *Fleet) add(kind, name string, i int) {
	f.Processes[name] = &Process{Name: name, Kind: kind, Zone: fmt.Sprintf("z%d", i%f.Zones+1), fleet: f}
}

// Fleets use ports below the kernel's ephemeral range, so that no client
// connection takes one.
const (
	firstPort     = 10_000
	lastPort      = 32_000
	portsPerFleet = 100
)

// assignPorts assigns free ports. The search starts at a port that depends on
// the ID of this process, so that fleets of several test processes rarely collide.
func (f *Fleet) assignPorts() {
	next := firstPort + os.Getpid()*portsPerFleet%(lastPort-firstPort)
	for _, k := range []string{"control", "host"} {
		for _, n := range f.Names(k) {
			p := f.Processes[n]
			for _, a := range []*string{&p.Peer, &p.Admin, &p.Callers} {
				*a, next = freePort(next)
			}
		}
	}
	f.nextPort = next
}

// FreeAddress returns a loopback address for another process that takes part. Like
// those of the fleet, its port is below the ephemeral range. Prepare must have been
// called.
func (f *Fleet) FreeAddress() string {
	var a string
	a, f.nextPort = freePort(f.nextPort)
	return a
}

// freePort returns the loopback address of the first port that can be listened
// on, and the port after it. The search starts at port and continues with
// firstPort after the end of the range.
func freePort(port int) (string, int) {
	for ; ; port++ {
		if port >= lastPort {
			port = firstPort
		}
		a := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", a)
		if err != nil {
			continue
		}
		_ = l.Close()
		return a, port + 1
	}
}

// Names returns the names of the processes of a kind (control or host), ordered
// by number.
func (f *Fleet) Names(kind string) []string {
	var l []string
	for i := 0; i < f.Hosts+f.Replicas+f.Spares; i++ {
		n := fmt.Sprintf("%c%d", kind[0], i+1)
		if _, ok := f.Processes[n]; ok {
			l = append(l, n)
		}
	}
	return l
}

// Addresses returns an address of each process of a kind, selected by of.
func (f *Fleet) Addresses(kind string, of func(*Process) string) []string {
	var l []string
	for _, n := range f.Names(kind) {
		l = append(l, of(f.Processes[n]))
	}
	return l
}

// Peer returns the address for peers.
func Peer(p *Process) string { return p.Peer }

// Admin returns the address for administration.
func Admin(p *Process) string { return p.Admin }

// Callers returns the address for callers.
func Callers(p *Process) string { return p.Callers }

func (f *Fleet) render(p *Process) string {
	var b strings.Builder
	if p.Kind == "control" {
		fmt.Fprintf(&b, "[control]\nname = %s\nzone = %s\ndata = %s\npeer = %s\nadmin = %s\nsecret = %s\n", p.Name, p.Zone, p.data(), p.Peer, p.Admin, Secret)
		var l []string
		for _, n := range f.Names("control")[:f.Replicas] {
			l = append(l, n+"="+f.Processes[n].Peer)
		}
		fmt.Fprintf(&b, "replicas = %s\n", strings.Join(l, ", "))
		renderTiming(&b, f.ControlTiming)
	} else {
		fmt.Fprintf(&b, "[host]\nid = %s\nzone = %s\ncallers = %s\npeer = %s\nadmin = %s\nsecret = %s\n", p.Name, p.Zone, p.Callers, p.Peer, p.Admin, Secret)
		fmt.Fprintf(&b, "[fleet]\ncontrol = %s\nseeds = %s\n", strings.Join(f.Addresses("control", Peer), ", "), strings.Join(f.Addresses("host", Peer), ", "))
		renderTiming(&b, f.Timing)
	}
	f.renderDebug(&b, p)
	return b.String()
}

func renderTiming(b *strings.Builder, m map[string]string) {
	b.WriteString("[timing]\n")
	for k, v := range m {
		fmt.Fprintf(b, "%s = %s\n", k, v)
	}
}

func (f *Fleet) renderDebug(b *strings.Builder, p *Process) {
	if f.DialAddr == nil {
		return
	}
	var l []string
	for _, q := range f.Processes {
		if a := f.DialAddr(p.Name, q.Name, q.Peer); q != p && a != q.Peer {
			l = append(l, q.Peer+"="+a)
		}
	}
	if len(l) > 0 {
		fmt.Fprintf(b, "[debug]\nvia = %s\n", strings.Join(l, ", "))
	}
}

// Start initializes the data folders of the replicas and starts every process
// except the spares.
func (f *Fleet) Start() error {
	for _, n := range f.Names("control")[:f.Replicas] {
		p := f.Processes[n]
		c := exec.Command(f.Binary, "control", "-init", "-settings", p.settings())
		if out, err := c.CombinedOutput(); err != nil {
			return errors.Wrap(err, string(out))
		}
	}
	for n, p := range f.Processes {
		if p.Kind == "control" && f.isSpare(n) {
			continue
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) isSpare(name string) bool {
	for i, n := range f.Names("control") {
		if n == name {
			return i >= f.Replicas
		}
	}
	return false
}

// Operator returns a client of the control replicas.
func (f *Fleet) Operator() *operator.Client {
	return &operator.Client{Replicas: f.Addresses("control", Peer), Secret: Secret, LeaderTimeout: 20 * clock.Second}
}

// AwaitReady waits until the roster contains every host and no change of it is
// in progress. It returns a Timeout after limit.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	k := f.Operator()
	return Await(limit, "every host is in the roster", func() bool {
		s, err := k.Fetch()
		return err == nil && len(s.Hosts) == f.Hosts && s.PreviousHosts == nil
	})
}

// Await polls a condition until it is true. It returns a Timeout after limit.
func Await(limit time.Duration, what string, f func() bool) error {
	end := time.Now().Add(limit)
	for !f() {
		if time.Now().After(end) {
			return Timeout{what}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// Close kills every process.
func (f *Fleet) Close() {
	for _, p := range f.Processes {
		p.Kill()
	}
}

func (p *Process) settings() string { return filepath.Join(p.fleet.Dir, p.Name+".ini") }

func (p *Process) data() string { return filepath.Join(p.fleet.Dir, p.Name+"-data") }

// Log returns the path of the process's log.
func (p *Process) Log() string { return filepath.Join(p.fleet.Dir, p.Name+".log") }

// Start starts the process and appends its output to its log.
func (p *Process) Start() error {
	l, err := os.OpenFile(p.Log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "lab.Start")
	}
	defer l.Close()
	p.command = exec.Command(p.fleet.Binary, p.Kind, "-settings", p.settings())
	p.command.Stdout, p.command.Stderr = l, l
	if err := p.command.Start(); err != nil {
		return errors.Wrap(err, "lab.Start")
	}
	p.ended = make(chan error, 1)
	go p.run(p.command, p.ended)
	return nil
}

func (p *Process) run(c *exec.Cmd, ended chan error) {
	ended <- c.Wait()
	close(ended)
}

// Running reports whether the process was started and not ended by Kill or Stop
// since. It stays true for a process that ended by itself.
func (p *Process) Running() bool { return p.command != nil }

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	<-p.ended
	p.command = nil
}

// Stop ends the process with SIGTERM and waits for its end. It returns an error
// if the exit status is not 0.
func (p *Process) Stop() error {
	if p.command == nil {
		return nil
	}
	_ = p.command.Process.Signal(syscall.SIGTERM)
	err := <-p.ended
	p.command = nil
	return err
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() { _ = p.command.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// LoseDisk deletes the data folder of a process that is not running.
func (p *Process) LoseDisk() error {
	return errors.Wrap(os.RemoveAll(p.data()), "lab.LoseDisk")
}

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }
