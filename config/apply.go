package config

// Apply decides the change whose encoding is data and returns the state after
// it together with the outcome. A change that is rejected still advances the
// sequence, so that every replica counts alike. A repeated ID returns its
// first outcome and s itself.
func (s *State) Apply(c Change, data []byte) (*State, Outcome) {
	if o, ok := s.FindOutcome(c.ID); ok {
		return s, o
	}
	n := s.copy()
	n.Sequence++
	n.Digest = chain(s.Digest, data)
	o := n.decide(c)
	o.ID, o.Author, o.Sequence = c.ID, c.Author, n.Sequence
	if !c.Internal {
		if o.Accepted {
			n.Version++
			n.LastAccepted = o
		}
		o.Version = n.Version
		n.remember(o)
	}
	return n, o
}

func (s *State) remember(o Outcome) {
	s.Outcomes = append(s.Outcomes, o)
	if len(s.Outcomes) > outcomesKept {
		s.Outcomes = s.Outcomes[1:]
	}
}

// decide edits s in place if the change is accepted.
func (s *State) decide(c Change) Outcome {
	if !c.Internal && c.Base != s.Version {
		return Outcome{Winner: s.LastAccepted.ID}
	}
	t := s.copy()
	for i := range c.Edits {
		if p := t.edit(c.Edits[i]); p != "" {
			return Outcome{Problem: p}
		}
		if c.Edits[i].internal() {
			t.RosterSequence = t.Sequence
		}
	}
	if p := t.check(s); p != "" {
		return Outcome{Problem: p}
	}
	*s = *t
	return Outcome{Accepted: true}
}

func (s *State) edit(e Edit) string {
	switch {
	case e.PutAccount != nil:
		s.Accounts = put(s.Accounts, e.PutAccount.Name, *e.PutAccount)
	case e.PutService != nil:
		s.Services = put(s.Services, e.PutService.Name, *e.PutService)
	case e.PutRoute != nil:
		s.Routes = put(s.Routes, e.PutRoute.Prefix, *e.PutRoute)
	case e.PutZone != nil:
		s.Zones = put(s.Zones, e.PutZone.Name, *e.PutZone)
	case e.IssueKey != nil:
		return s.issue(*e.IssueKey)
	case e.WithdrawKey != "":
		return s.withdraw(e.WithdrawKey)
	case e.DeleteAccount != "":
		s.Accounts = remove(s.Accounts, e.DeleteAccount)
		s.dropKeys(e.DeleteAccount)
	case e.DeleteService != "":
		s.Services = remove(s.Services, e.DeleteService)
	case e.DeleteRoute != "":
		s.Routes = remove(s.Routes, e.DeleteRoute)
	default:
		return s.editRoster(e)
	}
	return ""
}

func (s *State) issue(k Key) string {
	if _, ok := s.Accounts[k.Account]; !ok {
		return "key for unknown account " + k.Account
	}
	if _, ok := s.Keys[k.ID]; ok {
		return "key " + k.ID + " exists"
	}
	k.Withdrawn = false
	s.Keys = put(s.Keys, k.ID, k)
	return ""
}

func (s *State) withdraw(id string) string {
	k, ok := s.Keys[id]
	if !ok {
		return "unknown key " + id
	}
	k.Withdrawn = true
	s.Keys = put(s.Keys, id, k)
	return ""
}

func (s *State) dropKeys(account string) {
	for id, k := range s.Keys {
		if k.Account == account {
			s.Keys = remove(s.Keys, id)
		}
	}
}

// editRoster changes the roster. Only one change of the members is under way
// at a time: groups need majorities of both rosters until it is settled.
func (s *State) editRoster(e Edit) string {
	if e.FinishRosterChange {
		s.PreviousHosts = nil
		return ""
	}
	if e.PutHost != nil {
		h := *e.PutHost
		o, known := s.Hosts[h.ID]
		if known && o.Incarnation != h.Incarnation {
			h.Restarts = o.Restarts + 1
		}
		s.Hosts = put(s.Hosts, h.ID, h)
		return ""
	}
	s.Hosts = remove(s.Hosts, e.RemoveHost)
	return ""
}

func sameMembers(a, b map[string]Host) bool {
	if len(a) != len(b) {
		return false
	}
	for id, h := range a {
		if o, ok := b[id]; !ok || o.Zone != h.Zone {
			return false
		}
	}
	return true
}

// check returns the first reference that leads nowhere, or the reason why the
// roster may not change now. before is the state without the edits.
func (s *State) check(before *State) string {
	for p, r := range s.Routes {
		if _, ok := s.Services[r.Service]; !ok {
			return "route " + p + " leads to unknown service " + r.Service
		}
	}
	if sameMembers(before.Hosts, s.Hosts) {
		return ""
	}
	if before.PreviousHosts != nil {
		return "a roster change is under way"
	}
	if len(before.Hosts) > 0 {
		s.PreviousHosts = before.Hosts
	}
	if before.InitialHosts == nil {
		s.InitialHosts = s.Hosts
	}
	return ""
}
