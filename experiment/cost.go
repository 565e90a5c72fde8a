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

// Cost is what the processes of one role spend on control, without requests.
type Cost struct {
	Role     string `json:"role"`
	Hosts    int    `json:"hosts"`
	Accounts int    `json:"accounts"`
	// CPU is the share of a core in per cent, Memory the resident size in
	// megabytes, Bytes the control traffic a second in both directions; each
	// is the mean over the processes of the role.
	CPU    float64 `json:"cpuPercent"`
	Memory float64 `json:"memoryMB"`
	Bytes  float64 `json:"bytesPerSecond"`
}

const (
	ticksPerSecond = 100
	// The fields of the statistics after the name of the command.
	statUser      = 11
	statSystem    = 12
	statResident  = 21
	pageSize      = 4096
	megabyte      = 1 << 20
	editsInChange = 2000
)

// sample is one look at a process.
type sample struct {
	ticks, pages, bytes int64
}

// Measure starts a fleet, gives it a number of accounts with a key and a route
// each, lets it settle and measures for a time.
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
	if err := fill(f, accounts); err != nil {
		return nil, err
	}
	time.Sleep(d / 2)
	before, err := samples(f)
	if err != nil {
		return nil, err
	}
	time.Sleep(d)
	after, err := samples(f)
	if err != nil {
		return nil, err
	}
	var l []Cost
	for _, role := range []string{"host", "control"} {
		l = append(l, cost(f, role, hosts, accounts, before, after, d))
	}
	return l, nil
}

// fill creates accounts, each with a key and a route.
func fill(f *lab.Fleet, accounts int) error {
	k := f.Operator()
	s := config.Service{Name: "s"}.WithDefaults()
	e := []config.Edit{{PutService: &s}}
	for i := 0; i < accounts; i++ {
		n := fmt.Sprintf("account-%d", i)
		_, key := config.NewKey(n)
		e = append(e, config.Edit{PutAccount: &config.Account{Name: n, RatePerMinute: 60, Burst: 5}},
			config.Edit{IssueKey: &key}, config.Edit{PutRoute: &config.Route{Prefix: "/r/" + n, Service: "s"}})
		if len(e) >= editsInChange || i == accounts-1 {
			if _, err := k.Edit("experiment", func(*config.State) []config.Edit { return e }); err != nil {
				return err
			}
			e = nil
		}
	}
	return nil
}

func samples(f *lab.Fleet) (map[string]sample, error) {
	m := map[string]sample{}
	for n, p := range f.Processes {
		s, err := look(p)
		if err != nil {
			return nil, err
		}
		m[n] = s
	}
	return m, nil
}

// look reads the process's statistics (proc(5)) and its count of bytes.
func look(p *lab.Process) (sample, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		return sample{}, errors.Wrap(err, "experiment.look")
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
			return sample{}, errors.Wrap(err, "experiment.look")
		}
		*x.to += n
	}
	s.bytes, err = bytesOf(p.Admin)
	return s, err
}

func bytesOf(admin string) (int64, error) {
	q, err := http.NewRequest(http.MethodGet, "http://"+admin+"/debug/vars", nil)
	if err != nil {
		return 0, errors.Wrap(err, "experiment.bytesOf")
	}
	q.Header.Set("Authorization", "Bearer "+lab.Secret)
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, errors.Wrap(err, "experiment.bytesOf")
	}
	defer r.Body.Close()
	var v struct {
		ControlBytes int64 `json:"controlBytes"`
	}
	return v.ControlBytes, errors.Wrap(json.NewDecoder(r.Body).Decode(&v), "experiment.bytesOf")
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
