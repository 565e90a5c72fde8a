package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/carawayrack/carawayrack/command"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/lab"
	"github.com/carawayrack/carawayrack/load"
	"github.com/carawayrack/carawayrack/operator"
	"github.com/carawayrack/carawayrack/standin"
)

const (
	usageDemo = "starts a small fleet, sends traffic, kills a host and a control replica, and prints the results"

	demoHosts    = 6
	demoZones    = 3
	demoReplicas = 3
	demoAccounts = 3
	readyTimeout = 40 * time.Second
)

// demo is one run of the demonstration: its fleet, its targets and the key of each
// account.
type demo struct {
	fleet   *lab.Fleet
	targets *targetProcess
	keys    map[string]string
}

// targetProcess is the process of the stand-in targets. Its output goes to a file.
type targetProcess struct {
	command *exec.Cmd
	// control is the address of its interface for faults and counts.
	control string
	log     string
	// ended is closed once the process has ended.
	ended chan struct{}
}

// TargetsEnded is the error of targets that ended during the demonstration.
type TargetsEnded struct{ Output string }

// Error returns what the targets have written.
func (e TargetsEnded) Error() string { return "the targets have ended: " + e.Output }

// start starts the process with its arguments.
func (t *targetProcess) start(program string, args ...string) error {
	f, err := os.Create(t.log)
	if err != nil {
		return err
	}
	defer f.Close()
	t.command = exec.Command(program, args...)
	t.command.Stdout, t.command.Stderr = f, f
	t.ended = make(chan struct{})
	if err := t.command.Start(); err != nil {
		return err
	}
	go t.run()
	return nil
}

func (t *targetProcess) run() {
	// The output tells why the process has ended.
	_ = t.command.Wait()
	close(t.ended)
}

// err returns TargetsEnded if the process has ended.
func (t *targetProcess) err() error {
	select {
	case <-t.ended:
		b, err := os.ReadFile(t.log)
		if err != nil {
			return err
		}
		return TargetsEnded{strings.TrimSpace(string(b))}
	default:
		return nil
	}
}

func (t *targetProcess) stop() {
	_ = t.command.Process.Kill()
	<-t.ended
}

func runDemo(args []string) int {
	f := command.Flags("demo", usageDemo)
	binary := f.String("binary", "bin/carawayrack", "path of the carawayrack program")
	seconds := f.Int("seconds", 12, "length of the traffic in seconds")
	if code, ok := command.Parse(f, args); !ok {
		return code
	}
	dir, err := os.MkdirTemp("", "carawayrack-demo-")
	if err != nil {
		return command.Fail(err)
	}
	d := &demo{fleet: &lab.Fleet{Binary: *binary, Dir: dir, Hosts: demoHosts, Zones: demoZones, Replicas: demoReplicas}}
	defer d.close()
	if err := d.startFleet(); err != nil {
		return command.Fail(err)
	}
	r, err := d.sendTraffic(time.Duration(*seconds) * time.Second)
	if err != nil {
		return command.Fail(err)
	}
	return d.print(r)
}

// startFleet starts the fleet and the targets, and applies the configuration.
func (d *demo) startFleet() error {
	fmt.Printf("starting %d control replicas and %d hosts in %d availability zones; logs in %s\n", demoReplicas, demoHosts, demoZones, d.fleet.Dir)
	if err := d.fleet.Prepare(); err != nil {
		return err
	}
	if err := d.fleet.Start(); err != nil {
		return err
	}
	if err := d.fleet.AwaitReady(readyTimeout); err != nil {
		return err
	}
	if err := d.createConfiguration(); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	t := &targetProcess{control: d.fleet.FreeAddress(), log: filepath.Join(d.fleet.Dir, "targets.log")}
	if err := t.start(self, "target", "-count", "6", "-zones", fmt.Sprint(demoZones), "-secret", lab.Secret,
		"-control", t.control, "-announce", strings.Join(d.fleet.Addresses("host", lab.Admin), ",")); err != nil {
		return err
	}
	d.targets = t
	return nil
}

// createConfiguration applies a configuration with accounts, keys, a service and
// routes.
func (d *demo) createConfiguration() error {
	client := d.fleet.Operator()
	c := operator.New().Service("portal").Route("/standards", "portal").OpenRoute("/welcome", "portal")
	d.keys = map[string]string{}
	var issued []config.Edit
	for i := 0; i < demoAccounts; i++ {
		name := fmt.Sprintf("plant-%d", i+1)
		c.Account(name, 6000, 50)
		secret, key := config.NewKey(name)
		d.keys[name] = secret
		issued = append(issued, config.Edit{IssueKey: &key})
	}
	reply, err := client.Edit("demo", func(s *config.State) []config.Edit { return append(c.Diff(s), issued...) })
	if err == nil {
		fmt.Printf("configuration version %d in force on every host: %v\n", reply.Outcome.Version, reply.InForce)
	}
	return err
}

// sendTraffic sends requests of all accounts for a time, during which run kills
// processes.
func (d *demo) sendTraffic(length time.Duration) ([]*load.Result, error) {
	l := &load.Load{EntryHosts: d.fleet.Addresses("host", lab.Callers)}
	for name, key := range d.keys {
		l.Accounts = append(l.Accounts, load.Account{Name: name, Key: key, PerSecond: 60, RatePerMinute: 6000, Burst: 50, Path: "/standards/seam?work=5"})
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	go d.run(length)
	return l.Run(context.Background(), length), nil
}

// run kills a host after a third of the length and a control replica after two
// thirds.
func (d *demo) run(length time.Duration) {
	time.Sleep(length / 3)
	fmt.Println("killing host h2")
	d.fleet.Processes["h2"].Kill()
	time.Sleep(length / 3)
	fmt.Println("killing control replica c1")
	d.fleet.Processes["c1"].Kill()
}

// awaitReady waits until h1 serves a request on the route that needs no key.
func (d *demo) awaitReady() error {
	a := d.fleet.Processes["h1"].Callers
	var ended error
	err := lab.Await(readyTimeout, "a request is served", func() bool {
		if ended = d.targets.err(); ended != nil {
			return true
		}
		r, err := http.Get("http://" + a + "/welcome/now?work=1")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
	if ended != nil {
		return ended
	}
	return err
}

// print prints the results of the accounts and the counts of the targets, and
// returns the exit code.
func (d *demo) print(r []*load.Result) int {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ACCOUNT\tSENT\tSERVED\tREFUSED\tFAILED\tWRONG\tP50 ms\tP99 ms")
	for _, x := range r {
		fmt.Fprintf(w, "%s\t%d\t%d\t%v\t%d\t%d\t%.1f\t%.1f\n", x.Account, x.Sent, x.OK, x.Refused, x.Failed, x.Wrong,
			float64(x.Latency.ValueAtQuantile(50))/1000, float64(x.Latency.ValueAtQuantile(99))/1000)
	}
	if err := w.Flush(); err != nil {
		return command.Fail(err)
	}
	s, err := d.stats()
	if err != nil {
		return command.Fail(err)
	}
	fmt.Printf("targets: %d requests served, at most %d concurrent (capacity 3), %d beyond capacity, %d with a caller's key\n", s.Served, s.MaxRunning, s.OverCapacity, s.KeysSeen)
	return command.OK
}

// stats returns the total counts of the targets.
func (d *demo) stats() (standin.Stats, error) {
	var m map[string]standin.Stats
	r, err := http.Get("http://" + d.targets.control + "/stats")
	if err != nil {
		return standin.Stats{}, err
	}
	defer r.Body.Close()
	err = json.NewDecoder(r.Body).Decode(&m)
	return m["total"], err
}

// close stops the fleet and the targets.
func (d *demo) close() {
	d.fleet.Close()
	if d.targets != nil {
		d.targets.stop()
	}
}
