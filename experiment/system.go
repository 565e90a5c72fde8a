package experiment

import (
	"time"

	"github.com/carawayrack/carawayrack/baseline"
	"github.com/carawayrack/carawayrack/config"
	"github.com/carawayrack/carawayrack/lab"
)

// System is a running fleet to measure. EntryHosts holds its addresses for
// callers, Admin those for the announcements of targets, and Keys the key of each
// account.
type System struct {
	Name       string
	EntryHosts []string
	Admin      []string
	Keys       map[string]string
	// SetZoneEvacuated evacuates a zone or restores it.
	SetZoneEvacuated func(zone string, evacuated bool) error
	Close            func()
}

const readyTimeout = 90 * time.Second

// Product starts a fleet of the product as separate processes. If it returns a
// system together with an error, the caller must close the system.
func Product(d Deployment, binary, dir string, hosts int) (*System, error) {
	f := &lab.Fleet{Binary: binary, Dir: dir, Hosts: hosts, Zones: d.Zones, Replicas: 3}
	s := &System{Name: "carawayrack", Keys: map[string]string{}, Close: f.Close}
	if err := f.Prepare(); err != nil {
		return nil, err
	}
	if err := f.Start(); err != nil {
		return s, err
	}
	if err := f.AwaitReady(readyTimeout); err != nil {
		return s, err
	}
	s.EntryHosts, s.Admin = f.Addresses("host", lab.Callers), f.Addresses("host", lab.Admin)
	k := f.Operator()
	_, err := k.Edit("experiment", func(st *config.State) []config.Edit {
		c := d.Configuration()
		e := c.Diff(st)
		for _, a := range c.Accounts {
			secret, key := config.NewKey(a.Name)
			s.Keys[a.Name] = secret
			e = append(e, config.Edit{IssueKey: &key})
		}
		return e
	})
	s.SetZoneEvacuated = func(zone string, evacuated bool) error {
		_, err := k.Edit("experiment", func(*config.State) []config.Edit {
			return []config.Edit{{PutZone: &config.Zone{Name: zone, Evacuated: evacuated}}}
		})
		return err
	}
	return s, err
}

// Baseline starts a baseline fleet in this process.
func Baseline(d Deployment, c baseline.Choice, hosts int) (*System, error) {
	f := &baseline.Fleet{Hosts: hosts, Zones: d.Zones, Choice: c, Configuration: d.Configuration(), Keys: map[string]string{}}
	s := &System{Name: string(c), Keys: map[string]string{}, Close: f.Close}
	for _, a := range f.Configuration.Accounts {
		s.Keys[a.Name] = "key-" + a.Name
		f.Keys["key-"+a.Name] = a.Name
	}
	if err := f.Run(); err != nil {
		return nil, err
	}
	s.EntryHosts, s.Admin = f.Callers(), []string{f.Admin}
	s.SetZoneEvacuated = func(zone string, evacuated bool) error {
		f.SetZoneEvacuated(zone, evacuated)
		return nil
	}
	return s, nil
}
