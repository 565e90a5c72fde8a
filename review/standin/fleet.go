package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// program is what the build line of the deploy file builds.
	program = "target/carawayrack"
	region  = "region-1"
	// frontsPerZone and the zones make a small deployment: a core machine and
	// frontsPerZone frontend machines in each zone.
	frontsPerZone = 2
	readyWithin   = 20 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// bounds are those of the example settings on the users' pages.
var bounds = []string{
	"seedLagS=3", "addressReuseS=2", "contactMs=3000", "ackTimeoutMs=4000", "catchUpS=4", "drainMs=2000",
	"gracePeriodS=6", "lossSlackMs=200", "configPropagationMs=2000", "rollbackSlackMs=250", "maxStretchMs=5000",
	"strictRevocation=true", "revocationMs=5000", "retryBudgetRatio=0.2", "budgetWindowS=10", "retryBudgetSlack=62",
	"quotaWindowS=5", "quotaOvershoot=0.1", "quotaSlack=20", "warmupOvershoot=1.5", "warmupSlack=5",
	"evacuationMs=5000", "recoveryS=15", "ttl_max_s=5", "probesPerS=3", "minimumShare=0.7",
}

// The bounds that the cases use.
const (
	contact     = 3 * time.Second
	propagation = 2 * time.Second
	evacuation  = 5 * time.Second
	grace       = 6 * time.Second
	// margin is added to the bounds of a rule before a case counts a break.
	margin = time.Second
)

// ports are the same on all machines.
type ports struct{ callers, ready, control, directory, internal, metrics int }

// machine is one machine of the deployment with its process.
type machine struct {
	name, role, ip, zone string
	settings             string
	process              *os.Process
	// ended is closed when the process has ended.
	ended chan struct{}
}

// fleet is a deployment on loopback addresses.
type fleet struct {
	*record
	dir    string
	ports  ports
	prefix string
	cores  []*machine
	fronts []*machine
	// spares are core machines that may be added, one for each of cores.
	spares []*machine
	// seeds are the core machines that new settings name.
	seeds []*machine

	mu  sync.Mutex
	all []*machine
}

func newFleet(r *record) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("run the build line of the deploy file first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir}
	n := 1
	for k := range coreCount() {
		z := zones[k%len(zones)]
		name := fmt.Sprintf("core-%s-%d", z, k/len(zones)+1)
		f.cores = append(f.cores, &machine{name: name, role: "core", zone: z})
		f.spares = append(f.spares, &machine{name: name + "-added", role: "core", zone: z})
	}
	for _, z := range zones {
		for k := range frontsPerZone {
			f.fronts = append(f.fronts, &machine{name: fmt.Sprintf("frontend-%s-%d", z, k+1), role: "edge", zone: z})
		}
	}
	f.seeds = f.cores[:3]
	f.chooseAddresses()
	for _, m := range append(f.machines(), f.spares...) {
		m.ip = fmt.Sprintf("%s.%d", f.prefix, n)
		n++
	}
	return f, nil
}

// coreCount returns the number of core machines: three, or what CORES says.
func coreCount() int {
	if n, err := strconv.Atoi(os.Getenv("CORES")); err == nil && n >= 3 {
		return n
	}
	return 3
}

func (f *fleet) machines() []*machine { return append(append([]*machine{}, f.cores...), f.fronts...) }

// chooseAddresses chooses a loopback network and ports that nobody listens on.
func (f *fleet) chooseAddresses() {
	for {
		f.prefix = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		p := 20000 + 50*rand.IntN(200)
		f.ports = ports{p, p + 1, p + 2, p + 3, p + 4, p + 25}
		if f.free() {
			return
		}
	}
}

func (f *fleet) free() bool {
	for k := 1; k <= len(f.machines())+len(f.spares); k++ {
		for _, p := range []int{f.ports.callers, f.ports.ready, f.ports.control, f.ports.directory, f.ports.internal, f.ports.metrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", f.prefix, k, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (f *fleet) callers(m *machine) string   { return address(m.ip, f.ports.callers) }
func (f *fleet) directory(m *machine) string { return address(m.ip, f.ports.directory) }
func (f *fleet) control(m *machine) string   { return address(m.ip, f.ports.control) }

// start starts the process of a machine as the deploy file says. Only the
// address of the metrics is moved, since all machines share this one.
func (f *fleet) start(m *machine, bootstrap bool) error {
	if err := f.writeSettings(m, bootstrap); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(program, m.role, "-metrics", address(m.ip, f.ports.metrics))
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARAWAYRACK_BOOT=" + m.settings}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.process, m.ended = c.Process, ended
	f.mu.Lock()
	f.all = append(f.all, &machine{name: m.name, process: c.Process, ended: ended})
	f.mu.Unlock()
	f.printf("started %s at %s, process %d", m.name, m.ip, m.process.Pid)
	go func() {
		err := c.Wait()
		f.printf("process of %s ended: %v", m.name, err)
		close(ended)
	}()
	return nil
}

func (f *fleet) writeSettings(m *machine, bootstrap bool) error {
	var seeds []string
	for _, c := range f.seeds {
		seeds = append(seeds, f.control(c))
	}
	where := map[string]string{}
	for _, z := range zones {
		where[z] = region
	}
	s := map[string]any{
		"nodeName": m.name, "role": m.role, "ipAddress": m.ip, "zone": m.zone, "region": region, "zones": where,
		"internalPortRange": []int{f.ports.internal, f.ports.internal + 15}, "seedNodes": seeds, "bootstrap": bootstrap,
		"discovery": "registration", "entryMode": "directory", "heartbeatIntervalMs": 1500,
		"activeContracts": []string{"base", "drain", "config", "cost", "retry", "recover", "health", "tenants", "quota", "places"},
		"faultTolerance":  map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds":          bounds, "configurationMode": "highest",
	}
	if m.role == "core" {
		data := f.data(m)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		s["machineClass"], s["serves"], s["countTowardTolerance"], s["dataDirectory"] = "core", []string{"control_plane"}, true, data
		s["listenAddresses"] = map[string]string{"control": f.control(m)}
		s["limits"] = map[string]any{"cpuShare": 0.24, "cpuCores": 1, "memoryMb": 280, "fileDescriptors": 4096, "linkMbps": 1000.0, "diskMb": 256}
	} else {
		s["machineClass"], s["serves"], s["countTowardTolerance"] = "frontend", []string{"frontend", "directory"}, false
		s["listenAddresses"] = map[string]string{
			"frontendAddress": f.callers(m), "ready": address(m.ip, f.ports.ready), "directory": f.directory(m),
		}
		s["limits"] = map[string]any{"cpuShare": 0.32, "cpuCores": 1, "memoryMb": 284, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0}
	}
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	m.settings = filepath.Join(f.dir, m.name+".json")
	return os.WriteFile(m.settings, b, 0o600)
}

// data returns the folder that is the disk of a core machine.
func (f *fleet) data(m *machine) string { return filepath.Join(f.dir, m.name) }

// startAll starts the whole deployment for the first time.
func (f *fleet) startAll() error {
	for _, m := range f.machines() {
		if err := f.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// ready asks a frontend machine for its readiness, as the infrastructure does.
func (f *fleet) ready(m *machine) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + address(m.ip, f.ports.ready) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// awaitReady waits until all frontend machines are ready.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(readyWithin)
	for _, m := range f.fronts {
		for !f.ready(m) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.note("all frontend machines are ready")
	return nil
}

// follower returns the rank of a core machine that does not lead, as its state
// page says.
func (f *fleet) follower() (int, error) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for k, m := range f.cores {
		a, err := c.Get("http://" + address(m.ip, f.ports.metrics) + "/state")
		if err != nil {
			return 0, err
		}
		var x struct {
			Role string `json:"role"`
		}
		err = json.NewDecoder(a.Body).Decode(&x)
		_ = a.Body.Close()
		if err != nil {
			return 0, err
		}
		if x.Role == "follower" {
			f.printf("%s is a %s", m.name, x.Role)
			return k, nil
		}
	}
	return 0, errors.New("no core machine is a follower")
}

// signal sends a signal to the process of a machine.
func (f *fleet) signal(m *machine, s syscall.Signal) error {
	f.note("signal %v to %s", s, m.name)
	return m.process.Signal(s)
}

// end ends all processes and removes their files.
func (f *fleet) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.all {
		_ = m.process.Kill()
		<-m.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
