package main

import "time"

func init() { cases["zero"] = zeroCase }

// zeroCase sends a first configuration with the version r0. The rule is broken
// if it is acknowledged and can't be read back.
func zeroCase(r *run) (bool, error) {
	version := 0
	if !r.trouble {
		version = 1
	}
	var controls []string
	for _, m := range r.fleet.cores {
		controls = append(controls, r.fleet.control(m))
	}
	if err := r.fleet.startAll(); err != nil {
		return false, err
	}
	routes := []route{{"/read/", "safe", time.Second, map[string]int{"alpha": 1}}}
	o := &operator{record: r.record, controls: controls}
	if _, err := o.order(0, "configuration.replace", "", configuration(version, []string{"alpha"}, routes)); err != nil {
		r.note("not acknowledged: %v", err)
		return false, nil
	}
	time.Sleep(2 * contact)
	for _, a := range controls {
		v, err := readVersion(a)
		r.note("%s answers the read of the configuration with %q, error %v", a, v, err)
		if err == nil {
			return false, nil
		}
	}
	return true, nil
}
