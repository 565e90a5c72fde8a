package lab_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/carawayrack/carawayrack/clock"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/host"
	"github.com/carawayrack/carawayrack/lab"
	"github.com/carawayrack/carawayrack/operator"
	"github.com/carawayrack/carawayrack/refusal"
	"github.com/carawayrack/carawayrack/standin"
)

// limit bounds every wait on a condition.
const limit = 60 * time.Second

// testbed is a fleet of real processes with stand-in targets and one
// configuration.
type testbed struct {
	fleet *lab.Fleet
	group *standin.Group
	// announced maps the address of a target to the one it announces; nil
	// leaves it as it is.
	announced func(string) string
	keys      map[string]string
	http      *http.Client
}

// account is a client account of the tests, with its rate limit in requests per
// minute and its burst.
type account struct {
	name  string
	rpm   int
	burst int
}

// newFleet returns a small fleet with short intervals.
func newFleet(hosts int) *lab.Fleet {
	return &lab.Fleet{
		Binary: binary, Dir: GinkgoT().TempDir(), Hosts: hosts, Zones: 3, Replicas: 3,
		Timing: map[string]string{"addressHold": "1000", "interval": "100"},
		// repairAfter is short for the specs in which a replica is replaced.
		// removeAfter keeps its default, since the removal of killed hosts is
		// not tested here.
		ControlTiming: map[string]string{"repairAfter": "4000"},
	}
}

// start starts the fleet and the targets of a service "desk", and waits until
// they serve.
func start(f *lab.Fleet, targets int, accounts ...account) *testbed {
	GinkgoHelper()
	w := newTestbed(f)
	w.start(targets, accounts...)
	return w
}

func newTestbed(f *lab.Fleet) *testbed {
	return &testbed{fleet: f, keys: map[string]string{}, http: &http.Client{Timeout: limit, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func (w *testbed) start(targets int, accounts ...account) {
	GinkgoHelper()
	f := w.fleet
	DeferCleanup(w.close)
	Expect(f.Prepare()).To(Succeed())
	Expect(f.Start()).To(Succeed())
	Expect(f.AwaitReady(limit)).To(Succeed())
	w.configure(accounts)
	w.group = &standin.Group{
		Service: "desk", Zones: 3, Count: targets, Admin: f.Addresses("host", lab.Admin), Secret: lab.Secret,
		Slots: 3, ColdSlots: 1, ColdFor: 700, Work: 5, AnnouncedAddr: w.announced,
	}
	Expect(w.group.Run()).To(Succeed())
	w.await("the targets serve", func() bool { return w.get("h1", "/open?work=1", "").status == http.StatusOK })
}

func (w *testbed) configure(accounts []account) {
	c := operator.New().ServiceWith(config.Service{Name: "desk", QueueWait: 5 * clock.Second})
	c.Route("/desk", "desk").OpenRoute("/open", "desk")
	var issued []config.Edit
	for _, a := range accounts {
		c.Account(a.name, a.rpm, a.burst)
		secret, key := config.NewKey(a.name)
		w.keys[a.name] = secret
		issued = append(issued, config.Edit{IssueKey: &key})
	}
	w.edit(func(s *config.State) []config.Edit { return append(c.Diff(s), issued...) })
}

func (w *testbed) close() {
	if CurrentSpecReport().Failed() {
		GinkgoWriter.Printf("pool %+v\n", w.pool())
		w.showLogs()
	}
	if w.group != nil {
		w.group.Close()
	}
	w.fleet.Close()
}

// showLogs prints the end of each process's log.
func (w *testbed) showLogs() {
	const tail = 4000
	names := make([]string, 0)
	for n := range w.fleet.Processes {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		b, err := os.ReadFile(w.fleet.Processes[n].Log())
		if err == nil {
			GinkgoWriter.Printf("--- %s\n%s\n", n, b[max(0, len(b)-tail):])
		}
	}
}

func (w *testbed) edit(f func(*config.State) []config.Edit) {
	GinkgoHelper()
	p, err := w.fleet.Operator().Edit("test", f)
	Expect(err).NotTo(HaveOccurred())
	Expect(p.InForce).To(BeTrue())
}

func (w *testbed) await(what string, f func() bool) {
	GinkgoHelper()
	Expect(lab.Await(limit, what, f)).To(Succeed())
}

// response is the response to a test's request.
type response struct {
	status  int
	refusal refusal.Refusal
	body    standin.Response
	err     error
}

func (w *testbed) get(hostName, path, key string) response {
	return w.send(hostName, http.MethodGet, path, key, nil, nil)
}

func (w *testbed) send(hostName, method, path, key string, body io.Reader, header map[string]string) response {
	q, err := http.NewRequest(method, "http://"+w.fleet.Processes[hostName].Callers+path, body)
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range header {
		q.Header.Set(k, v)
	}
	p, err := w.http.Do(q)
	if err != nil {
		return response{err: err}
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	r := response{status: p.StatusCode, err: err}
	if p.StatusCode == http.StatusOK {
		r.err = json.Unmarshal(b, &r.body)
	} else {
		_ = json.Unmarshal(b, &r.refusal)
	}
	return r
}

// dump returns the state of a host, empty if the host can't be reached.
func (w *testbed) dump(name string) host.Dump {
	var d host.Dump
	q, err := http.NewRequest(http.MethodGet, "http://"+w.fleet.Processes[name].Admin+"/state", nil)
	Expect(err).NotTo(HaveOccurred())
	q.Header.Set("Authorization", "Bearer "+lab.Secret)
	p, err := w.http.Do(q)
	if err != nil {
		return d
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(b, &d)).To(Succeed(), string(b[:min(len(b), 300)]))
	return d
}

// leaseholder returns the host that holds the lease of a shard, empty if none
// does.
func (w *testbed) leaseholder(shard int) string {
	for _, n := range w.fleet.Names("host") {
		if !w.fleet.Processes[n].Running() {
			continue
		}
		for _, s := range w.dump(n).Shards {
			if s.Shard == shard && s.Leading {
				return n
			}
		}
	}
	return ""
}

// checkHosts asserts that no process logged a violated invariant or a data race.
func (w *testbed) checkHosts() {
	GinkgoHelper()
	for n, p := range w.fleet.Processes {
		b, err := os.ReadFile(p.Log())
		if err != nil {
			continue
		}
		Expect(bytes.Contains(b, []byte("DATA RACE"))).To(BeFalse(), "data race in %s: %s", n, race(b))
		Expect(bytes.Contains(b, []byte("invariantViolated"))).To(BeFalse(), "%s", n)
	}
}

func race(b []byte) string {
	const shown = 3000
	i := strings.Index(string(b), "DATA RACE")
	if i < 0 {
		return ""
	}
	return string(b[i:min(len(b), i+shown)])
}

// checkTargets asserts that the targets saw no request beyond their capacity,
// with a caller's key or after leaving, and no order executed twice.
func (w *testbed) checkTargets() {
	GinkgoHelper()
	s := w.group.Total()
	Expect(s.OverCapacity).To(BeZero(), "requests beyond the capacity of a target")
	Expect(s.KeysSeen).To(BeZero(), "requests with a caller's key")
	Expect(s.AfterLeave).To(BeZero(), "requests after leaving")
	for o, n := range s.Executions {
		Expect(n).To(BeNumerically("<=", 1), "order %s", o)
	}
}

// checkRates asserts that the arrivals of each account at all targets together
// conform to its rate and burst. slack is the longest time by which requests may
// bunch up between the consumption of a token and their arrival.
func (w *testbed) checkRates(slack time.Duration, accounts ...account) {
	GinkgoHelper()
	l := w.group.Total().Arrivals
	sort.Slice(l, func(i, j int) bool { return l[i].At < l[j].At })
	for _, a := range accounts {
		tokens, at, n := 0.0, int64(0), 0
		capacity := float64(a.burst) + slack.Minutes()*float64(a.rpm)
		for _, x := range l {
			if x.Account != a.name {
				continue
			}
			if n == 0 {
				tokens, at = capacity, x.At
			}
			n++
			tokens = min(tokens+float64(x.At-at)/60e6*float64(a.rpm), capacity) - 1
			at = x.At
			Expect(tokens).To(BeNumerically(">=", 0), "account %s after %d requests", a.name, n)
		}
		Expect(n).To(BeNumerically(">", 0), "account %s was never served", a.name)
	}
}
