package idempotency

import "github.com/carawayrack/carawayrack/clock"

// Verdict is the decision on a request that is about to run.
type Verdict string

// The verdicts.
const (
	// Run means that the request has not been seen; it may run once the
	// record is held by a majority.
	Run Verdict = "run"
	// Replay means that the stored answer is to be given.
	Replay Verdict = "replay"
	// Running means that the request runs at the moment.
	Running Verdict = "running"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Verdict = "lost"
	// Reused means that the key came with another request before.
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
	// uncertainUntil is the end of the time in which unseen keys may have been
	// used before the group's memory was lost.
	uncertainUntil clock.Millis
}

type storedRecord struct {
	record    Record
	expiresAt clock.Millis
	unknownAt clock.Millis
}

// Begin decides on a request and records its start.
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

// Finish records the answer, or that there will be none.
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

// Cancel forgets the start of a request that provably did not run.
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

// MarkUnknown marks the requests of a dead process as unknown, except those of
// the incarnation alive.
func (s *Store) MarkUnknown(host, alive string) {
	for _, e := range s.records {
		r := &e.record
		if r.Host == host && r.Incarnation != alive && r.State == Started {
			r.State = Unknown
			r.Version++
		}
	}
}

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

// Merge takes in records of another member. Newer states win; a record with
// no time left is deleted.
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

// All returns every record with relative times.
func (s *Store) All(now clock.Millis) []Record {
	s.expire(now)
	l := make([]Record, 0, len(s.records))
	for _, e := range s.records {
		l = append(l, s.withRemainingTimes(now, e))
	}
	return l
}

func (s *Store) withRemainingTimes(now clock.Millis, e *storedRecord) Record {
	r := e.record
	r.Left = e.expiresAt - now
	r.Running = e.unknownAt - now
	return r
}

// Complete reports whether the store holds all acknowledged records.
func (s *Store) Complete() bool { return s.complete }

// SetComplete declares the store complete.
func (s *Store) SetComplete() { s.complete = true }

// SetUncertain makes unseen keys unanswerable for a while: the group has lost its
// memory and they may have been used before.
func (s *Store) SetUncertain(now, d clock.Millis) {
	s.uncertainUntil = max(s.uncertainUntil, now+d)
}

// UncertainFor returns the time for which unseen keys are still in doubt.
func (s *Store) UncertainFor(now clock.Millis) clock.Millis { return max(s.uncertainUntil-now, 0) }

// Size returns the number of records.
func (s *Store) Size() int { return len(s.records) }
