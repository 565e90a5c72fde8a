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

// world is a fleet of real processes with targets and one configuration.
type world struct {
	fleet *lab.Fleet
	group *standin.Group
	// announced replaces the addresses of targets.
	announced func(string) string
	keys      map[string]string
	http      *http.Client
}

// account is what an account of the tests is entitled to.
type account struct {
	name  string
	rpm   int
	burst int
}

// newFleet prepares a fleet of small size.
func newFleet(hosts int) *lab.Fleet {
	return &lab.Fleet{
		Binary: binary, Dir: GinkgoT().TempDir(), Hosts: hosts, Zones: 3, Replicas: 3,
		Timing: map[string]string{"addressHold": "1000", "interval": "100"},
		// Removing a host that was killed is a subject of its own.
		ControlTiming: map[string]string{"repairAfter": "4000"},
	}
}

// start runs the fleet with a service "desk" of a number of targets.
func start(f *lab.Fleet, targets int, accounts ...account) *world {
	GinkgoHelper()
	w := newWorld(f)
	w.start(targets, accounts...)
	return w
}

func newWorld(f *lab.Fleet) *world {
	return &world{fleet: f, keys: map[string]string{}, http: &http.Client{Timeout: limit, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func (w *world) start(targets int, accounts ...account) {
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

func (w *world) configure(accounts []account) {
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

func (w *world) close() {
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
func (w *world) showLogs() {
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

func (w *world) edit(f func(*config.State) []config.Edit) {
	GinkgoHelper()
	p, err := w.fleet.Operator().Edit("test", f)
	Expect(err).NotTo(HaveOccurred())
	Expect(p.InForce).To(BeTrue())
}

func (w *world) await(what string, f func() bool) {
	GinkgoHelper()
	Expect(lab.Await(limit, what, f)).To(Succeed())
}

// reply is an answer to a test's request.
type reply struct {
	status  int
	refusal refusal.Refusal
	answer  standin.Response
	err     error
}

func (w *world) get(hostName, path, key string) reply {
	return w.send(hostName, http.MethodGet, path, key, nil, nil)
}

func (w *world) send(hostName, method, path, key string, body io.Reader, header map[string]string) reply {
	q, err := http.NewRequest(method, "http://"+w.fleet.Processes[hostName].Callers+path, body)
	if err != nil {
		return reply{err: err}
	}
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range header {
		q.Header.Set(k, v)
	}
	p, err := w.http.Do(q)
	if err != nil {
		return reply{err: err}
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	r := reply{status: p.StatusCode, err: err}
	if p.StatusCode == http.StatusOK {
		r.err = json.Unmarshal(b, &r.answer)
	} else {
		_ = json.Unmarshal(b, &r.refusal)
	}
	return r
}

// dump returns the state of a host.
func (w *world) dump(name string) host.Dump {
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

// keeper returns the host that is keeper of a shard, empty if none is.
func (w *world) keeper(shard int) string {
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

// checkHosts asserts that no host saw a broken invariant and that no process
// reported a data race.
func (w *world) checkHosts() {
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

// checkTargets asserts what the targets counted.
func (w *world) checkTargets() {
	GinkgoHelper()
	s := w.group.Total()
	Expect(s.OverCapacity).To(BeZero(), "requests beyond what a target bears")
	Expect(s.KeysSeen).To(BeZero(), "requests with a caller's key")
	Expect(s.AfterLeave).To(BeZero(), "requests after leaving")
	for o, n := range s.Executions {
		Expect(n).To(BeNumerically("<=", 1), "order %s", o)
	}
}

// checkRates asserts that the arrivals of each account at all targets fit its
// rate and burst. slack is the time by which requests may have bunched up on
// their way between the spending of a token and the target.
func (w *world) checkRates(slack time.Duration, accounts ...account) {
	GinkgoHelper()
	l := w.group.Total().Arrivals
	sort.Slice(l, func(i, j int) bool { return l[i].At < l[j].At })
	for _, a := range accounts {
		level, at, n := 0.0, int64(0), 0
		room := float64(a.burst) + slack.Minutes()*float64(a.rpm)
		for _, x := range l {
			if x.Account != a.name {
				continue
			}
			if n == 0 {
				level, at = room, x.At
			}
			n++
			level = min(level+float64(x.At-at)/60e6*float64(a.rpm), room) - 1
			at = x.At
			Expect(level).To(BeNumerically(">=", 0), "account %s after %d requests", a.name, n)
		}
		Expect(n).To(BeNumerically(">", 0), "account %s was never served", a.name)
	}
}
