package idempotency

import "github.com/carawayrack/carawayrack/clock"

// Verdict is the decision on a request that a host wants to send.
type Verdict string

// The verdicts.
const (
	// Run means that the key is new. The request may be sent once a majority
	// of the group holds the record.
	Run Verdict = "run"
	// Replay means that the stored response is to be sent.
	Replay Verdict = "replay"
	// Running means that the request may be running now.
	Running Verdict = "running"
	// OutcomeUnknown means that the request may have run and that its response
	// is not known.
	OutcomeUnknown Verdict = "lost"
	// Reused means that the key was used before for another request.
	Reused Verdict = "reused"
)

// Store holds the records of one shard. Its methods must not be called
// concurrently.
type Store struct {
	// Retention is the time for which records are kept.
	Retention clock.Millis

	records map[Key]*storedRecord
	// complete is true if the store holds every record that a majority of
	// the group acknowledged while this process was a member.
	complete bool
	// Until uncertainUntil, keys without a record may have been used before
	// the group lost its records.
	uncertainUntil clock.Millis
}

// storedRecord is a record with its times by this process's clock.
type storedRecord struct {
	record    Record
	expiresAt clock.Millis
	unknownAt clock.Millis
}

// Begin decides on a request and records its start if the verdict is Run. It
// returns the record to replicate then, or the one on which the verdict depends.
func (s *Store) Begin(now clock.Millis, r Record) (Verdict, Record) {
	s.expire(now)
	e := s.records[r.Key]
	if e == nil {
		return s.start(now, r)
	}
	if e.record.Fingerprint != r.Fingerprint {
		return Reused, e.record
	}
	switch e.record.State {
	case Done:
		return Replay, e.record
	case Started:
		return Running, e.record
	default:
		return OutcomeUnknown, e.record
	}
}

func (s *Store) start(now clock.Millis, r Record) (Verdict, Record) {
	if now < s.uncertainUntil {
		return OutcomeUnknown, r
	}
	r.State = Started
	r.Version = 1
	r.Left = s.Retention
	s.put(now, r)
	return Run, r
}

func (s *Store) put(now clock.Millis, r Record) {
	if s.records == nil {
		s.records = map[Key]*storedRecord{}
	}
	s.records[r.Key] = &storedRecord{record: r, expiresAt: now + r.Left, unknownAt: now + r.Running}
}

// Finish records the response of a started request (state Done), or that the
// response will not become known (state Unknown). It returns the changed record,
// or false if the request is not recorded as started.
func (s *Store) Finish(now clock.Millis, k Key, state State, a Response) (Record, bool) {
	e := s.records[k]
	if e == nil || e.record.State != Started {
		return Record{}, false
	}
	e.record.State = state
	e.record.Answer = a
	e.record.Version++
	return s.withRemainingTimes(now, e), true
}

// Cancel deletes the record of a started request that provably did not run. It
// returns the record with no time left, to delete it on other members, or false if
// the request is not recorded as started.
func (s *Store) Cancel(k Key) (Record, bool) {
	e := s.records[k]
	if e == nil || e.record.State != Started {
		return Record{}, false
	}
	delete(s.records, k)
	r := e.record
	r.Version++
	r.Left = 0
	return r, true
}

// MarkUnknown marks the started requests of a host's dead processes as unknown.
// Those of the incarnation alive stay.
func (s *Store) MarkUnknown(host, alive string) {
	for _, e := range s.records {
		r := &e.record
		if r.Host == host && r.Incarnation != alive && r.State == Started {
			r.State = Unknown
			r.Version++
		}
	}
}

// expire deletes old records and marks started requests as unknown whose time to
// run is over.
func (s *Store) expire(now clock.Millis) {
	for k, e := range s.records {
		if now >= e.expiresAt {
			delete(s.records, k)
			continue
		}
		if e.record.State == Started && now >= e.unknownAt {
			e.record.State = Unknown
			e.record.Version++
		}
	}
}

// Merge adds records of another member. The higher version wins; a record with no
// time left is deleted.
func (s *Store) Merge(now clock.Millis, l []Record) {
	for _, r := range l {
		if e := s.records[r.Key]; e != nil && e.record.Version >= r.Version {
			continue
		}
		if r.Left <= 0 {
			delete(s.records, r.Key)
			continue
		}
		s.put(now, r)
	}
}

// All returns all records with the times left from now.
func (s *Store) All(now clock.Millis) []Record {
	s.expire(now)
	l := make([]Record, 0, len(s.records))
	for _, e := range s.records {
		l = append(l, s.withRemainingTimes(now, e))
	}
	return l
}

// withRemainingTimes returns the record with the times left from now.
func (s *Store) withRemainingTimes(now clock.Millis, e *storedRecord) Record {
	r := e.record
	r.Left = e.expiresAt - now
	r.Running = e.unknownAt - now
	return r
}

// Complete reports whether the store holds every record that a majority of the
// group acknowledged while this process was a member.
func (s *Store) Complete() bool { return s.complete }

// SetComplete marks the store as complete.
func (s *Store) SetComplete() { s.complete = true }

// SetUncertain makes Begin return OutcomeUnknown for keys without a record for a
// duration, since the group has lost its records and the keys may have been used.
func (s *Store) SetUncertain(now, d clock.Millis) {
	s.uncertainUntil = max(s.uncertainUntil, now+d)
}

// UncertainFor returns the time left in which keys without a record may have been
// used.
func (s *Store) UncertainFor(now clock.Millis) clock.Millis { return max(s.uncertainUntil-now, 0) }

// Size returns the number of records.
func (s *Store) Size() int { return len(s.records) }
