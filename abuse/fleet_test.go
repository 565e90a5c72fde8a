package abuse_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/platform"
)

const (
	// memoryMb and descriptors are the limits in the settings of each process.
	// reserved is the number of descriptors that are reserved for files.
	memoryMb    = 64
	descriptors = 400
	reserved    = 200
	// Limits of the configuration.
	headBytes     = 16_384
	bodyBytes     = 64 << 20
	headerTimeout = 3 * clock.Second
	idleTimeout   = 15 * clock.Second
	routeTimeout  = 4 * clock.Second
	// within bounds the wait for a condition that no check depends on otherwise.
	within = 20 * time.Second
	// settle is the time that the processes get to work off what has arrived.
	settle = 2 * time.Second

	targetSlots   = 100
	largeResponse = 1 << 20
)

// process is a process of the system.
type process struct {
	role, ip, file string
	cmd            *exec.Cmd
	output         bytes.Buffer
	ended          chan struct{}

	mu sync.Mutex
	// peakSockets and peakDescriptors are the largest numbers seen.
	peakSockets, peakDescriptors int
}

// fleet is a control process and a host with one target.
type fleet struct {
	core, edge *process
	target     *http.Server
	client     platform.Client
}

// address returns the n-th loopback address of this test process, which no other
// one uses: it follows from the process ID.
func address(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(n*64+pid>>16)&0x7f, pid>>8&0xff, pid&0xff)
}

func (p *process) addr(port int) string { return net.JoinHostPort(p.ip, strconv.Itoa(port)) }

const (
	peerPort      = 7700
	metricsPort   = 9180
	controlPort   = 8400
	directoryPort = 8404
	callersPort   = 8405
	readyPort     = 8406
)

func startProcess(role, ip, seed string) *process {
	GinkgoHelper()
	d := GinkgoT().TempDir()
	p := &process{role: role, ip: ip, file: filepath.Join(d, "settings.json"), ended: make(chan struct{})}
	b, err := json.Marshal(map[string]any{
		"nodeName": role + "-0", "ipAddress": ip, "zone": "z0", "internalPortRange": []int{peerPort, peerPort + 15},
		"bootstrap": role == "core", "dataDirectory": filepath.Join(d, "data"),
		"seedNodes": []string{net.JoinHostPort(seed, strconv.Itoa(controlPort))},
		"bounds":    []string{"revocationMs=5000", "retryBudgetRatio=0.2", "retryBudgetSlack=60", "gracePeriodS=6"},
		"limits":    map[string]any{"memoryMb": memoryMb, "fileDescriptors": descriptors},
		"listenAddresses": map[string]string{
			"frontendAddress": p.addr(callersPort), "ready": p.addr(readyPort),
			"directory": p.addr(directoryPort), "control": p.addr(controlPort),
		},
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(p.file, b, 0o600)).To(Succeed())
	Expect(os.MkdirAll(filepath.Join(d, "data"), 0o700)).To(Succeed())
	p.cmd = exec.Command(binary, role, "-metrics", p.addr(metricsPort))
	p.cmd.Env = append(os.Environ(), "CARAWAYRACK_BOOT="+p.file)
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(p.cmd.Start()).To(Succeed())
	go p.run()
	go p.watch()
	return p
}

// run waits for the end of the process.
func (p *process) run() {
	// The error is that of the signal that ends the process.
	_ = p.cmd.Wait()
	close(p.ended)
}

// watch records the peak number of descriptors.
func (p *process) watch() {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		l, err := os.ReadDir(p.proc("fd"))
		if err != nil {
			continue
		}
		sockets := 0
		for _, x := range l {
			// A descriptor may have been closed since the directory was read.
			if n, err := os.Readlink(filepath.Join(p.proc("fd"), x.Name())); err == nil && strings.HasPrefix(n, "socket:") {
				sockets++
			}
		}
		p.mu.Lock()
		p.peakSockets, p.peakDescriptors = max(p.peakSockets, sockets), max(p.peakDescriptors, len(l))
		p.mu.Unlock()
	}
}

func (p *process) proc(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}

// peakMemory returns the peak resident set in KiB.
func (p *process) peakMemory() int {
	b, err := os.ReadFile(p.proc("status"))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(b), "\n") {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "VmHWM:" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// startFleet starts a control process, a host and a target, and waits until a
// request is served.
func startFleet() *fleet {
	GinkgoHelper()
	f := &fleet{client: platform.Client{HTTP: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}}
	f.core = startProcess("core", address(0), address(0))
	DeferCleanup(f.core.kill)
	f.edge = startProcess("edge", address(1), address(0))
	DeferCleanup(f.edge.kill)
	Eventually(f.configure, within).Should(Succeed())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &target{id: "t1", fleet: f, addr: l.Addr().String(), stopped: make(chan struct{})}
	f.target = &http.Server{Handler: t}
	go t.run(l)
	go t.announce()
	DeferCleanup(t.stop)
	Eventually(f.status, within).Should(Equal(http.StatusOK))
	GinkgoWriter.Printf("before: host %d KiB, control process %d KiB\n", f.edge.peakMemory(), f.core.peakMemory())
	return f
}

func (f *fleet) configure() error {
	p := []catalog.Part{{Service: "s", Weight: 1}}
	return f.client.Configure(f.core.addr(controlPort), &catalog.Config{
		Version:  1,
		Services: []catalog.Service{{Name: "s", Connections: targetSlots}},
		Limits:   catalog.Limits{HeaderBytes: headBytes, BodyBytes: bodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
		Routes: []catalog.Route{
			{Name: "read", Host: "s.example", Prefix: "/read/", Kind: catalog.Idempotent, Timeout: routeTimeout, Objective: clock.Second, Attempts: 2, Parts: p, Open: true},
			{Name: "put", Host: "s.example", Prefix: "/put/", Kind: catalog.Upload, Timeout: routeTimeout, Objective: clock.Second, Attempts: 1, Parts: p, Open: true},
		},
	})
}

// status sends an ordinary request and returns the status of the response, or the
// error.
func (f *fleet) status() any {
	r, err := http.NewRequest(http.MethodGet, "http://"+f.edge.addr(callersPort)+"/read/x", nil)
	if err != nil {
		return err
	}
	r.Host = "s.example"
	r.Header.Set(platform.Headers().RequestID, "ordinary")
	return f.get(r)
}

func (f *fleet) readiness() any {
	r, err := http.NewRequest(http.MethodGet, "http://"+f.edge.addr(readyPort)+platform.ReadyPath, nil)
	if err != nil {
		return err
	}
	return f.get(r)
}

func (f *fleet) get(r *http.Request) any {
	a, err := f.client.HTTP.Do(r)
	if err != nil {
		return err
	}
	_ = a.Body.Close()
	return a.StatusCode
}

func (f *fleet) readConfiguration() error {
	_, err := f.client.Configuration(f.core.addr(controlPort))
	return err
}

// peaks returns the largest numbers of sockets and descriptors seen.
func (p *process) peaks() (sockets, descriptors int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakSockets, p.peakDescriptors
}

// report adds the peaks of both processes to the report.
func (f *fleet) report() {
	for _, p := range []*process{f.edge, f.core} {
		s, d := p.peaks()
		AddReportEntry("figures", fmt.Sprintf("%s: peak memory %d KiB of %d, sockets %d of %d, descriptors %d of %d",
			p.role, p.peakMemory(), memoryMb<<10, s, descriptors-reserved, d, descriptors))
	}
}

// check checks the promises while the clients are still connected.
func (f *fleet) check() {
	GinkgoHelper()
	DeferCleanup(f.report)
	time.Sleep(settle)
	Eventually(f.readiness, within).Should(Equal(http.StatusOK))
	Eventually(f.status, within).Should(Equal(http.StatusOK))
	Eventually(f.readConfiguration, within).Should(Succeed())
	for _, p := range []*process{f.edge, f.core} {
		Expect(p.ended).NotTo(BeClosed(), p.role)
		Expect(p.peakMemory()).To(BeNumerically("<=", memoryMb<<10), "peak memory of %s in KiB", p.role)
		s, d := p.peaks()
		Expect(s).To(BeNumerically("<=", descriptors-reserved), "sockets of %s", p.role)
		Expect(d).To(BeNumerically("<=", descriptors), "descriptors of %s", p.role)
	}
}

// target is a target that reads its requests and responds at once.
type target struct {
	id, addr string
	fleet    *fleet
	stopped  chan struct{}
}

func (t *target) run(l net.Listener) {
	// The error is that of a closed server.
	_ = t.fleet.target.Serve(l)
}

func (t *target) announce() {
	for n := uint64(1); ; n++ {
		// The control process may refuse while it is flooded; the next one follows.
		_ = t.fleet.client.Announce(t.fleet.core.addr(controlPort), catalog.Target{
			ID: t.id, Service: "s", Addr: t.addr, Zone: "z0", Number: n, Born: 1, Slots: targetSlots, Phase: catalog.Serving,
		})
		select {
		case <-t.stopped:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (t *target) stop() {
	close(t.stopped)
	_ = t.fleet.target.Close()
}

// ServeHTTP responds after the body has arrived: with largeResponse bytes to paths
// that end in "large".
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := platform.Headers()
	b := make([]byte, 64<<10)
	for {
		if _, err := r.Body.Read(b); err != nil {
			break
		}
	}
	w.Header().Set(h.RequestID, r.Header.Get(h.RequestID))
	w.Header().Set(h.Seal, "seal")
	if strings.HasSuffix(r.URL.Path, "large") {
		_, _ = w.Write(make([]byte, largeResponse))
	}
}
