// Package trial3 runs the programs of the deploy file as separate processes on
// loopback addresses, with stand-ins for the platform, its instances, its operator and
// its clients, for the scripts of the third review.
package trial3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The results of a script, which are its exit codes.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the script makes its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record at a path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Note writes one line with the time since the start.
func (r *Record) Note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, a ...any) {
	r.Note(format, a...)
	fmt.Printf(format+"\n", a...)
}

// Process is one process of the fleet.
type Process struct {
	Name, IP, Zone string
	command        *exec.Cmd
	ended          chan struct{}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// Fleet is a small deployment.
type Fleet struct {
	Record *Record
	// Root is the repository, Dir a temporary folder.
	Root, Dir string
	Zones     []string
	Cores     []*Process
	Edges     []*Process
	Instances []*Instance

	// The ports are the same on all machines.
	control, callers, ready, directory, peer, metrics int
	// net is the second byte of the loopback addresses.
	net int
}

// tempDir returns the folder for the data folders: one in memory where there is one, since
// syncs of a busy disk may take seconds.
func tempDir() string {
	const memory = "/dev/shm"
	if i, err := os.Stat(memory); os.Getenv("TMPDIR") == "" && err == nil && i.IsDir() {
		return memory
	}
	return ""
}

// Start starts cores control processes and edges entry hosts, in turn in the zones.
func Start(rec *Record, cores, edges int, zones ...string) (*Fleet, error) {
	// The kernel ends the processes with the thread that has started them.
	runtime.LockOSThread()
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(tempDir(), "trial3-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: rec, Root: root, Dir: dir, Zones: zones, net: 20 + os.Getpid()%200}
	used := map[int]bool{}
	for _, p := range []*int{&f.control, &f.callers, &f.ready, &f.directory, &f.peer, &f.metrics} {
		for *p == 0 || used[*p] {
			if *p, err = freePort(f.net); err != nil {
				return nil, err
			}
		}
		used[*p] = true
	}
	for i := range cores {
		f.Cores = append(f.Cores, f.process("core", i))
	}
	for i := range edges {
		f.Edges = append(f.Edges, f.process("edge", i))
	}
	for _, p := range append(append([]*Process{}, f.Cores...), f.Edges...) {
		if err := f.start(p, true); err != nil {
			return f, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, p := range append(append([]*Process{}, f.Cores...), f.Edges...) {
		select {
		case <-p.ended:
			return f, fmt.Errorf("%s has ended", p.Name)
		default:
		}
	}
	return f, nil
}

func freePort(second int) (int, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:0", second))
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (f *Fleet) process(role string, i int) *Process {
	third := map[string]int{"core": 1, "edge": 2}[role]
	return &Process{Name: fmt.Sprintf("%s-%d", role, i+1), IP: fmt.Sprintf("127.%d.%d.%d", f.net, third, i+1), Zone: f.Zones[i%len(f.Zones)]}
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// Callers returns the address of an entry host for clients.
func (f *Fleet) Callers(p *Process) string { return address(p.IP, f.callers) }

// Control returns the address of a control process for the platform's calls.
func (f *Fleet) Control(p *Process) string { return address(p.IP, f.control) }

// settings returns the settings of a process, like those of a small deployment.
func (f *Fleet) settings(p *Process, role string, bootstrap bool) map[string]any {
	zones := map[string]string{}
	for _, z := range f.Zones {
		zones[z] = "region-1"
	}
	var seeds []string
	for _, c := range f.Cores[:min(3, len(f.Cores))] {
		seeds = append(seeds, f.Control(c))
	}
	s := map[string]any{
		"nodeName": p.Name, "role": role, "ipAddress": p.IP, "zone": p.Zone, "region": "region-1", "zones": zones,
		"internalPortRange": []int{f.peer, f.peer + 15}, "seedNodes": seeds, "bootstrap": bootstrap,
		"discovery": "registration", "entryMode": "directory", "heartbeatIntervalMs": 1500, "configurationMode": "highest",
		"activeContracts": []string{"base", "drain", "config", "cost", "retry", "recover", "health", "tenants", "quota", "places"},
		"faultTolerance":  map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": []string{
			"seedLagS=3", "addressReuseS=2", "contactMs=3000", "ackTimeoutMs=4000", "catchUpS=4", "drainMs=2000", "gracePeriodS=6",
			"lossSlackMs=200", "configPropagationMs=2000", "rollbackSlackMs=250", "maxStretchMs=5000", "strictRevocation=true",
			"revocationMs=5000", "retryBudgetRatio=0.2", "budgetWindowS=10", "retryBudgetSlack=62", "quotaWindowS=5",
			"quotaOvershoot=0.1", "quotaSlack=20", "warmupOvershoot=1.5", "warmupSlack=5", "evacuationMs=5000", "recoveryS=15",
			"ttl_max_s=5", "probesPerS=3", "minimumShare=0.7",
		},
	}
	limits := map[string]any{"cpuShare": 1, "cpuCores": 1, "memoryMb": 284, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0}
	if role == "core" {
		s["machineClass"], s["serves"], s["countTowardTolerance"] = "core", []string{"control_plane"}, true
		s["listenAddresses"] = map[string]string{"control": f.Control(p)}
		s["dataDirectory"] = filepath.Join(f.Dir, p.Name+"-data")
		limits["diskMb"] = 256
	} else {
		s["machineClass"], s["serves"], s["countTowardTolerance"] = "frontend", []string{"frontend", "directory"}, false
		s["listenAddresses"] = map[string]string{
			"frontendAddress": f.Callers(p), "ready": address(p.IP, f.ready), "directory": address(p.IP, f.directory),
		}
	}
	s["limits"] = limits
	return s
}

func (f *Fleet) start(p *Process, bootstrap bool) error {
	role, _, _ := strings.Cut(p.Name, "-")
	b, err := json.MarshalIndent(f.settings(p, role, bootstrap), "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(f.Dir, p.Name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(f.Dir, p.Name+"-data"), 0o700); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(filepath.Join(f.Root, "target/carawayrack"), role, "-metrics", address(p.IP, f.metrics))
	c.Env = append(os.Environ(), "CARAWAYRACK_BOOT="+path)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	p.command, p.ended = c, make(chan struct{})
	ended := p.ended
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// Stop ends all processes and instances, and removes the temporary folder unless KEEP
// is set.
func (f *Fleet) Stop() {
	for _, x := range f.Instances {
		x.End()
	}
	for _, p := range append(append([]*Process{}, f.Cores...), f.Edges...) {
		if p.command != nil {
			p.Signal(syscall.SIGCONT)
			p.Signal(syscall.SIGKILL)
			<-p.ended
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", f.Dir)
		return
	}
	_ = os.RemoveAll(f.Dir)
}

var operator = &http.Client{Timeout: time.Second}

// call makes one call of the platform, at each control process in turn until one
// answers with a 2xx or a clear refusal. It returns the last status, 0 without any.
func (f *Fleet) call(name, of string, body []byte, tries int) (int, []byte) {
	status, answer := 0, []byte(nil)
	for i := range tries {
		u := "http://" + f.Control(f.Cores[i%len(f.Cores)]) + "/-/rpc?call=" + name
		if of != "" {
			u += "&of=" + of
		}
		r, err := operator.Post(u, "application/json", bytes.NewReader(body))
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		answer, _ = io.ReadAll(r.Body)
		_ = r.Body.Close()
		status = r.StatusCode
		if status/100 == 2 || status == 400 || status == 409 {
			return status, answer
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, answer
}

// Configure sends a configuration until it is confirmed and returns when it was.
func (f *Fleet) Configure(config map[string]any) (time.Time, error) {
	b, err := json.Marshal(config)
	if err != nil {
		return time.Time{}, err
	}
	status, answer := f.call("configuration.replace", "", b, 80)
	f.Record.Note("operator: configuration %v: %d", config["version"], status)
	if status/100 != 2 {
		return time.Time{}, fmt.Errorf("configuration: status %d: %s", status, answer)
	}
	return time.Now(), nil
}

// Service, Route and Tenant return parts of a configuration.
func Service(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 5.9,
	}
}

// Route returns a route to one service.
func Route(name, prefix, kind, service string, timeoutMs int, anonymous bool) map[string]any {
	return map[string]any{
		"name": name, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 600, "priority": 1,
		"service": service, "maxAttempts": 2, "allowAnonymous": anonymous,
	}
}

// Tenant returns a tenant.
func Tenant(name string, rate, burst int, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys, "priority": 1, "ratePerS": rate, "burst": burst}
}

// Host is the host name of all routes.
const Host = "trial.example"

// Config returns a configuration.
func Config(version int, services, tenants, routes []map[string]any) map[string]any {
	return map[string]any{
		"version": fmt.Sprintf("r%d", version), "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"hosts":  []map[string]any{{"host": Host, "paths": routes}},
	}
}

// Order sends a configuration and returns the status of the first clear response.
func (f *Fleet) Order(config map[string]any) int {
	b, err := json.Marshal(config)
	if err != nil {
		return 0
	}
	status, answer := f.call("configuration.replace", "", b, 40)
	f.Record.Note("operator: configuration %v: %d %s", config["version"], status, answer)
	return status
}

// Read returns the newest configuration as the operator reads it back.
func (f *Fleet) Read() []byte {
	_, b := f.call("configuration.read", "", nil, 40)
	return b
}
