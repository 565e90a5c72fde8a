package coordinator

import (
	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/catalog"
	"github.com/carawayrack/carawayrack/clock"
)

const (
	// firstQuarantine is the time from the crashes to the first trial. Each trial doubles
	// it.
	firstQuarantine = 10 * clock.Second
	// maxTrials is the number of trials after which a request stays in quarantine for
	// longQuarantine: the users allow three retries of a request that crashes targets.
	maxTrials      = 3
	longQuarantine = 60 * 60 * clock.Second
	// trialMargin is the time after the deadline of a trial in which its outcome becomes
	// known.
	trialMargin = 1 * clock.Second
	// undecidedWait is the time after which a host may ask again if the outcome of its
	// request is unknown.
	undecidedWait = 1 * clock.Second
)

// SuspectArgs is the request of a host about a request that may crash its targets.
type SuspectArgs struct {
	Fingerprint uint64
	// Crashed is true if the host knows of enough crashes to quarantine the request.
	Crashed bool
	// Trial is true if the host wants to send the request to a target, for up to
	// TimeLeft.
	Trial    bool
	TimeLeft clock.Millis
	// Answered is true if a target has answered the request, and the host held the state
	// at Sequence when it was sent.
	Answered bool
	Sequence uint64
}

// SuspectReply is the response to SuspectArgs. If Granted is true, the host may send the
// request once; Sequence is that of the state in which the trial began. Otherwise the
// host may ask again after Wait.
type SuspectReply struct {
	Granted  bool
	Wait     clock.Millis
	Sequence uint64
}

// TrialTaken is the error of a quarantine or a trial that has no effect, since another one
// came first.
type TrialTaken struct{}

// Error says that another trial came first.
func (TrialTaken) Error() string { return "another trial of the request has begun" }

// knownSuspect is a suspect of the state, if it is one.
type knownSuspect struct {
	Suspect catalog.Suspect
	Known   bool
}

// quarantineLength returns the length of the quarantine that begins with a trial, or with
// the crashes if there was none.
func quarantineLength(trials int) clock.Millis {
	if trials >= maxTrials {
		return longQuarantine
	}
	return firstQuarantine << trials
}

// Suspect quarantines a request, begins a trial of it or ends its quarantine. The error is
// Unavailable; a trial may have begun then.
func (c *Coordinator) Suspect(a SuspectArgs) (SuspectReply, error) {
	if a.Answered {
		return SuspectReply{}, c.submit(catalog.Change{Cleared: &catalog.Suspect{Fingerprint: a.Fingerprint, Sequence: a.Sequence}})
	}
	k, err := request[knownSuspect](c, &readSuspect{a.Fingerprint})
	if err != nil {
		return SuspectReply{}, err
	}
	now := c.Wall.Now()
	x := catalog.Suspect{Fingerprint: a.Fingerprint, Until: int64(now + quarantineLength(0))}
	if k.Known {
		x.Trials = k.Suspect.Trials + 1
		x.Until = int64(now + max(quarantineLength(x.Trials), a.TimeLeft+trialMargin))
		// The time of day may have jumped since the quarantine began.
		left := min(clock.Millis(k.Suspect.Until)-now, quarantineLength(k.Suspect.Trials))
		if !a.Trial || left > 0 {
			return SuspectReply{Wait: max(left, 0)}, nil
		}
	} else if !a.Crashed {
		// The host has not got the end of the quarantine yet.
		return SuspectReply{Wait: undecidedWait}, nil
	}
	p, err := c.propose(catalog.Change{Quarantine: &x})
	var taken TrialTaken
	if errors.As(err, &taken) {
		return SuspectReply{Wait: undecidedWait}, nil
	}
	if err != nil {
		return SuspectReply{}, err
	}
	return SuspectReply{Granted: x.Trials > 0, Wait: clock.Millis(x.Until) - now, Sequence: p.Sequence}, nil
}
