package config

// Apply accepts or rejects a change and returns the resulting state and the
// outcome. data is the encoded change; it extends the digest. A rejected change
// still advances the sequence, so that all replicas have the same sequence
// after the same log. A change whose ID is among the kept outcomes gets its first
// outcome, and s is returned unchanged. The outcomes of internal changes are not
// kept.
func (s *State) Apply(c Change, data []byte) (*State, Outcome) {
	if o, ok := s.FindOutcome(c.ID); ok {
		return s, o
	}
	n := s.copy()
	n.Sequence++
	n.Digest = chainDigest(s.Digest, data)
	o := n.decide(c)
	o.ID, o.Author, o.Sequence = c.ID, c.Author, n.Sequence
	if !c.Internal {
		if o.Accepted {
			n.Version++
			n.LastAccepted = o
		}
		o.Version = n.Version
		n.addOutcome(o)
	}
	return n, o
}

// addOutcome stores an outcome and discards the oldest beyond maxOutcomes.
func (s *State) addOutcome(o Outcome) {
	s.Outcomes = append(s.Outcomes, o)
	if len(s.Outcomes) > maxOutcomes {
		s.Outcomes = s.Outcomes[1:]
	}
}

// decide accepts or rejects a change. It applies all edits to s if the change
// is accepted, and none if it is rejected.
func (s *State) decide(c Change) Outcome {
	if !c.Internal && c.Base != s.Version {
		return Outcome{Winner: s.LastAccepted.ID}
	}
	edited := s.copy()
	for i := range c.Edits {
		if problem := edited.edit(c.Edits[i]); problem != "" {
			return Outcome{Problem: problem}
		}
		if c.Edits[i].internal() {
			edited.RosterSequence = edited.Sequence
		}
	}
	if problem := edited.completeEdits(s); problem != "" {
		return Outcome{Problem: problem}
	}
	*s = *edited
	return Outcome{Accepted: true}
}

// edit applies one edit. It returns the reason if the edit is not possible, and
// an empty string otherwise.
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
		return s.issueKey(*e.IssueKey)
	case e.WithdrawKey != "":
		return s.withdrawKey(e.WithdrawKey)
	case e.DeleteAccount != "":
		s.Accounts = remove(s.Accounts, e.DeleteAccount)
		s.removeKeys(e.DeleteAccount)
	case e.DeleteService != "":
		s.Services = remove(s.Services, e.DeleteService)
	case e.DeleteRoute != "":
		s.Routes = remove(s.Routes, e.DeleteRoute)
	default:
		return s.editRoster(e)
	}
	return ""
}

func (s *State) issueKey(k Key) string {
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

func (s *State) withdrawKey(id string) string {
	k, ok := s.Keys[id]
	if !ok {
		return "unknown key " + id
	}
	k.Withdrawn = true
	s.Keys = put(s.Keys, id, k)
	return ""
}

func (s *State) removeKeys(account string) {
	for id, k := range s.Keys {
		if k.Account == account {
			s.Keys = remove(s.Keys, id)
		}
	}
}

// editRoster applies an edit to the roster. Only one change of the roster's
// members may be in progress at a time: until it is finished, the group of a
// shard needs a majority in both the previous and the new roster.
func (s *State) editRoster(e Edit) string {
	if e.FinishRosterChange {
		s.PreviousHosts = nil
		return ""
	}
	if e.PutHost != nil {
		h := *e.PutHost
		old, known := s.Hosts[h.ID]
		if known && old.Incarnation != h.Incarnation {
			h.Restarts = old.Restarts + 1
		}
		s.Hosts = put(s.Hosts, h.ID, h)
		return ""
	}
	s.Hosts = remove(s.Hosts, e.RemoveHost)
	return ""
}

// sameMembers reports whether two rosters have the same hosts in the same zones.
func sameMembers(a, b map[string]Host) bool {
	if len(a) != len(b) {
		return false
	}
	for id, h := range a {
		if other, ok := b[id]; !ok || other.Zone != h.Zone {
			return false
		}
	}
	return true
}

// completeEdits returns the reason why the edited state cannot be accepted: a
// route to an unknown service, or a second roster change while one is in
// progress. Otherwise it returns an empty string, and if the roster has changed,
// it records the previous and the initial roster. before is the state without
// the edits.
func (s *State) completeEdits(before *State) string {
	for prefix, r := range s.Routes {
		if _, ok := s.Services[r.Service]; !ok {
			return "route " + prefix + " leads to unknown service " + r.Service
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
