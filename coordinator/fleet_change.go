package coordinator

// FleetChange is the difference between two lists of a Fleet.
type FleetChange struct {
	// Base and Digest are the digests of the lists before and after the change.
	Base, Digest uint64
	// Gone holds the IDs of the hosts that are no longer listed, Hosts those that
	// are new or have changed.
	Gone  []string
	Hosts []Host
	// Cores is the new list of control processes.
	Cores []Core
}

// maxFleetHistory is the number of former lists from which changes are sent.
const maxFleetHistory = 16

// Apply returns the list after a change. It returns false if the change does not
// follow this list.
func (f *Fleet) Apply(c *FleetChange) (*Fleet, bool) {
	if c.Base != f.Digest {
		return nil, false
	}
	gone := map[string]bool{}
	for _, id := range c.Gone {
		gone[id] = true
	}
	for _, h := range c.Hosts {
		gone[h.ID] = true
	}
	n := &Fleet{Cores: c.Cores, Digest: c.Digest}
	for _, h := range f.Hosts {
		if !gone[h.ID] {
			n.Hosts = append(n.Hosts, h)
		}
	}
	n.Hosts = append(n.Hosts, c.Hosts...)
	sortHosts(n.Hosts)
	return n, digest(n.Hosts, n.Cores) == c.Digest
}

// changeFrom returns the change from an older list to f.
func (f *Fleet) changeFrom(old *Fleet) *FleetChange {
	c := &FleetChange{Base: old.Digest, Digest: f.Digest, Cores: f.Cores}
	before := make(map[string]Host, len(old.Hosts))
	for _, h := range old.Hosts {
		before[h.ID] = h
	}
	for _, h := range f.Hosts {
		if before[h.ID] != h {
			c.Hosts = append(c.Hosts, h)
		}
		delete(before, h.ID)
	}
	for _, h := range old.Hosts {
		if _, ok := before[h.ID]; ok {
			c.Gone = append(c.Gone, h.ID)
		}
	}
	return c
}

// fleetHistory holds the last lists that this process has sent, in their order.
type fleetHistory struct{ lists []*Fleet }

// add appends a list unless it is the last one.
func (h *fleetHistory) add(f *Fleet) {
	if k := len(h.lists); k > 0 && h.lists[k-1].Digest == f.Digest {
		return
	}
	h.lists = append(h.lists, f)
	if k := len(h.lists); k > maxFleetHistory {
		h.lists = h.lists[k-maxFleetHistory:]
	}
}

// update returns what brings a receiver with the list of a digest to f: the
// change if that list is known and the receiver accepts it, otherwise f itself.
func (h *fleetHistory) update(f *Fleet, held uint64, changes bool) (*Fleet, *FleetChange) {
	if f.Digest == held {
		return nil, nil
	}
	h.add(f)
	if !changes || held == 0 {
		return f, nil
	}
	for _, old := range h.lists {
		if old.Digest == held {
			return nil, f.changeFrom(old)
		}
	}
	return f, nil
}
