package experiment

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/lab"
)

// Cost is the mean resource use of the processes of one role without requests.
type Cost struct {
	Role     string `json:"role"`
	Hosts    int    `json:"hosts"`
	Accounts int    `json:"accounts"`
	// CPU is the share of a CPU core in per cent, Memory the resident set size
	// in MiB, Bytes the control traffic per second in both directions. Each is
	// the mean over the processes of the role.
	CPU    float64 `json:"cpuPercent"`
	Memory float64 `json:"memoryMB"`
	Bytes  float64 `json:"bytesPerSecond"`
}

const (
	ticksPerSecond = 100
	// Indexes of fields in /proc/PID/stat after the command name (proc(5)).
	statUser       = 11
	statSystem     = 12
	statResident   = 21
	pageSize       = 4096
	megabyte       = 1 << 20
	editsPerChange = 2000
)

// sample holds the counts of a process at one time: CPU time in clock ticks,
// resident pages and bytes of control traffic.
type sample struct {
	ticks, pages, bytes int64
}

// Measure starts a fleet, adds accounts with one key and one route each, waits
// for d/2 and measures the processes for d. It returns one Cost for each role.
func Measure(binary, dir string, hosts, accounts int, d time.Duration) ([]Cost, error) {
	f := &lab.Fleet{Binary: binary, Dir: dir, Hosts: hosts, Zones: 4, Replicas: 3}
	defer f.Close()
	if err := f.Prepare(); err != nil {
		return nil, err
	}
	if err := f.Start(); err != nil {
		return nil, err
	}
	if err := f.AwaitReady(readyTimeout); err != nil {
		return nil, err
	}
	if err := addAccounts(f, accounts); err != nil {
		return nil, err
	}
	time.Sleep(d / 2)
	before, err := readSamples(f)
	if err != nil {
		return nil, err
	}
	time.Sleep(d)
	after, err := readSamples(f)
	if err != nil {
		return nil, err
	}
	var l []Cost
	for _, role := range []string{"host", "control"} {
		l = append(l, cost(f, role, hosts, accounts, before, after, d))
	}
	return l, nil
}

// addAccounts creates accounts, each with a key and a route.
func addAccounts(f *lab.Fleet, accounts int) error {
	k := f.Operator()
	s := config.Service{Name: "s"}.WithDefaults()
	e := []config.Edit{{PutService: &s}}
	for i := 0; i < accounts; i++ {
		n := fmt.Sprintf("account-%d", i)
		_, key := config.NewKey(n)
		e = append(e, config.Edit{PutAccount: &config.Account{Name: n, RatePerMinute: 60, Burst: 5}},
			config.Edit{IssueKey: &key}, config.Edit{PutRoute: &config.Route{Prefix: "/r/" + n, Service: "s"}})
		if len(e) >= editsPerChange || i == accounts-1 {
			if _, err := k.Edit("experiment", func(*config.State) []config.Edit { return e }); err != nil {
				return err
			}
			e = nil
		}
	}
	return nil
}

func readSamples(f *lab.Fleet) (map[string]sample, error) {
	m := map[string]sample{}
	for n, p := range f.Processes {
		s, err := readSample(p)
		if err != nil {
			return nil, err
		}
		m[n] = s
	}
	return m, nil
}

// readSample reads the CPU time and memory of a process from /proc (proc(5)) and
// its count of control bytes from its debug variables.
func readSample(p *lab.Process) (sample, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		return sample{}, errors.Wrap(err, "experiment.readSample")
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	v := strings.Fields(rest)
	var s sample
	for _, x := range []struct {
		field int
		to    *int64
	}{{statUser, &s.ticks}, {statSystem, &s.ticks}, {statResident, &s.pages}} {
		n, err := strconv.ParseInt(v[x.field], 10, 64)
		if err != nil {
			return sample{}, errors.Wrap(err, "experiment.readSample")
		}
		*x.to += n
	}
	s.bytes, err = controlBytes(p.Admin)
	return s, err
}

func controlBytes(admin string) (int64, error) {
	q, err := http.NewRequest(http.MethodGet, "http://"+admin+"/debug/vars", nil)
	if err != nil {
		return 0, errors.Wrap(err, "experiment.controlBytes")
	}
	q.Header.Set("Authorization", "Bearer "+lab.Secret)
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, errors.Wrap(err, "experiment.controlBytes")
	}
	defer r.Body.Close()
	var v struct {
		ControlBytes int64 `json:"controlBytes"`
	}
	return v.ControlBytes, errors.Wrap(json.NewDecoder(r.Body).Decode(&v), "experiment.controlBytes")
}

func cost(f *lab.Fleet, role string, hosts, accounts int, before, after map[string]sample, d time.Duration) Cost {
	c := Cost{Role: role, Hosts: hosts, Accounts: accounts}
	names := f.Names(role)
	for _, n := range names {
		a, b := before[n], after[n]
		c.CPU += float64(b.ticks-a.ticks) / ticksPerSecond / d.Seconds() * 100
		c.Memory += float64(b.pages) * pageSize / megabyte
		c.Bytes += float64(b.bytes-a.bytes) / d.Seconds()
	}
	k := float64(len(names))
	c.CPU, c.Memory, c.Bytes = c.CPU/k, c.Memory/k, c.Bytes/k
	return c
}
