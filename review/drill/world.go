package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as the settings tell them to the processes.
const (
	seedLag     = 3 * time.Second
	contact     = 3 * time.Second
	catchUp     = 4 * time.Second
	gracePeriod = 6 * time.Second
	recovery    = 15 * time.Second
)

var bounds = []string{
	"seedLagS=3", "addressReuseS=2", "contactMs=3000", "ackTimeoutMs=4000", "catchUpS=4", "drainMs=2000",
	"gracePeriodS=6", "lossSlackMs=200", "configPropagationMs=2000", "rollbackSlackMs=250", "maxStretchMs=5000",
	"strictRevocation=true", "revocationMs=5000", "retryBudgetRatio=0.2", "budgetWindowS=10", "retryBudgetSlack=60",
	"quotaWindowS=5", "quotaOvershoot=0.1", "quotaSlack=20", "warmupOvershoot=1.5", "warmupSlack=5",
	"evacuationMs=5000", "recoveryS=15", "ttl_max_s=5", "probesPerS=3", "minimumShare=0.7",
}

// ports are the ports of all machines.
type ports struct{ callers, ready, directory, control, metrics, internal, instances int }

// world is the platform of a case: its machines, and the operator's list of them.
type world struct {
	rec   *record
	dir   string
	net   string
	ports ports
	// cores and edges are the machines by class.
	cores, edges []*machine

	mu sync.Mutex
	// serving holds when which cores began or ceased to serve, in order.
	serving []change
}

// change says that a core began or ceased to serve.
type change struct {
	at   time.Time
	core *machine
	on   bool
}

// machine runs one process of the project.
type machine struct {
	world    *world
	name, ip string
	class    string
	zone     string
	log      *os.File

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
	// signalledAt is when the process got the last signal, termAt when the machine's last
	// SIGTERM was sent.
	signalledAt, termAt time.Time
}

func newWorld(r *record) (*world, error) {
	d, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	w := &world{rec: r, dir: d, net: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))}
	return w, w.choosePorts()
}

// choosePorts chooses ports that are free on all addresses.
func (w *world) choosePorts() error {
	for range 100 {
		p := 20000 + rand.IntN(10000)
		w.ports = ports{p, p + 1, p + 2, p + 3, p + 4, p + 5, p + 25}
		free := true
		for i := range 30 {
			l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", p+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (w *world) close() {
	for _, m := range append(append([]*machine(nil), w.cores...), w.edges...) {
		m.kill()
		if m.log != nil {
			_ = m.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}

// addCore and addEdge add a machine that is off.
func (w *world) addCore(zone string) *machine {
	m := w.newMachine("core", len(w.cores)+1, zone)
	w.cores = append(w.cores, m)
	return m
}

func (w *world) addEdge(zone string) *machine {
	m := w.newMachine("frontend", len(w.edges)+51, zone)
	w.edges = append(w.edges, m)
	return m
}

func (w *world) newMachine(class string, n int, zone string) *machine {
	return &machine{world: w, name: fmt.Sprintf("%s-%s-%d", class, zone, n), ip: fmt.Sprintf("%s%d", w.net, n), class: class, zone: zone}
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// control returns the control addresses of machines.
func (w *world) control(l []*machine) []string {
	var r []string
	for _, m := range l {
		r = append(r, m.addr(w.ports.control))
	}
	return r
}

// operatorList returns the cores that served seedLag ago: the operator's list.
func (w *world) operatorList() []*machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	on := map[*machine]bool{}
	for _, c := range w.serving {
		if time.Since(c.at) >= seedLag {
			on[c.core] = c.on
		}
	}
	var l []*machine
	for _, m := range w.cores {
		if on[m] {
			l = append(l, m)
		}
	}
	return l
}

func (w *world) setServing(m *machine, on bool) {
	if m.class != "core" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serving = append(w.serving, change{time.Now(), m, on})
}

// writeSettings writes the settings file of a machine.
func (m *machine) writeSettings(seeds []*machine, bootstrap bool) (string, error) {
	w := m.world
	data := any(nil)
	if m.class == "core" {
		data = filepath.Join(w.dir, m.name)
	}
	serves, listen, command := []string{"control_plane"}, map[string]string{"control": m.addr(w.ports.control)}, "core"
	if m.class != "core" {
		serves, command = []string{"frontend", "directory"}, "edge"
		listen = map[string]string{
			"frontendAddress": m.addr(w.ports.callers), "ready": m.addr(w.ports.ready), "directory": m.addr(w.ports.directory),
		}
	}
	s := map[string]any{
		"nodeName": m.name, "role": command, "machineClass": m.class, "serves": serves, "ipAddress": m.ip,
		"zone": m.zone, "region": "r", "zones": map[string]string{"za": "r", "zb": "r", "zc": "r"},
		"listenAddresses": listen, "internalPortRange": []int{w.ports.internal, w.ports.internal + 15},
		"seedNodes": w.control(seeds), "bootstrap": bootstrap, "countTowardTolerance": m.class == "core",
		"limits": map[string]any{
			"cpuShare": 0.32, "cpuCores": 1, "memoryMb": 284, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 256,
		},
		"dataDirectory": data, "discovery": "registration", "entryMode": "directory", "heartbeatIntervalMs": 1500,
		"activeContracts": []string{"base", "drain", "config", "cost", "retry", "recover", "health", "tenants", "quota", "places"},
		"faultTolerance":  map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          bounds, "configurationMode": "highest",
	}
	b, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return "", err
	}
	if data != nil {
		if err := os.MkdirAll(data.(string), 0o755); err != nil {
			return "", err
		}
	}
	path := filepath.Join(w.dir, m.name+".json")
	return path, os.WriteFile(path, b, 0o644)
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start(seeds []*machine, bootstrap bool) error {
	path, err := m.writeSettings(seeds, bootstrap)
	if err != nil {
		return err
	}
	if m.log == nil {
		if m.log, err = os.Create(filepath.Join(m.world.dir, m.name+".log")); err != nil {
			return err
		}
	}
	command := "edge"
	if m.class == "core" {
		command = "core"
	}
	c := exec.Command("target/carawayrack", command, "-metrics", m.addr(m.world.ports.metrics))
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CARAWAYRACK_BOOT=" + path}
	c.Stdout, c.Stderr = m.log, m.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	x := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited, m.startedAt, m.signalledAt = c, x, time.Now(), time.Time{}
	m.mu.Unlock()
	go func() {
		// The state of the process does not matter: the case ends most of them.
		_ = c.Wait()
		close(x)
	}()
	m.world.setServing(m, true)
	m.world.rec.line("%s starts, seeds %v, bootstrap %v", m.name, m.world.control(seeds), bootstrap)
	return nil
}

// kill ends the machine's process without notice.
func (m *machine) kill() { m.end(syscall.SIGKILL) }

// terminate sends SIGTERM and waits for the end, at most for the grace period.
func (m *machine) terminate() {
	m.signal(syscall.SIGTERM)
	m.mu.Lock()
	x := m.exited
	m.mu.Unlock()
	select {
	case <-x:
	case <-time.After(gracePeriod):
	}
	m.end(syscall.SIGKILL)
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		m.signalledAt = time.Now()
		if s == syscall.SIGTERM {
			m.termAt = m.signalledAt
		}
		m.world.rec.line("%s gets %v", m.name, s)
		_ = m.process.Process.Signal(s)
	}
}

func (m *machine) end(s syscall.Signal) {
	m.mu.Lock()
	c, x := m.process, m.exited
	m.process = nil
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(s)
	<-x
	m.world.setServing(m, false)
	m.world.rec.line("%s has ended", m.name)
}

// restart stops a machine by plan and starts it again.
func (m *machine) restart() {
	m.terminate()
	if err := m.start(m.world.seedsNow(), false); err != nil {
		m.world.rec.note("%s cannot start: %v", m.name, err)
	}
}

// seedsNow returns up to three cores of the operator's list.
func (w *world) seedsNow() []*machine {
	l := w.operatorList()
	rand.Shuffle(len(l), func(a, b int) { l[a], l[b] = l[b], l[a] })
	return l[:min(3, len(l))]
}

// inTouch reports whether the machine's process has run for contact without a signal.
func (m *machine) inTouch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process != nil && time.Since(m.startedAt) > contact && (m.signalledAt.IsZero() || time.Since(m.signalledAt) > contact)
}

// sinceSignal returns the time from the last SIGTERM of the machine's process, which may
// have ended since, to a request that was sent at a time.
func (m *machine) sinceSignal(at time.Time) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.termAt.IsZero() || at.Before(m.termAt) {
		return 0, !m.termAt.IsZero()
	}
	return at.Sub(m.termAt), true
}
