package replica

import "github.com/carawayrack/carawayrack/clock"

// preCampaign requests pre-votes: whether the voters would grant a vote. It does
// not change their terms.
func (n *Node) preCampaign(now clock.Millis) {
	n.role = PreCandidate
	n.leader = ""
	n.requestVotes(now, RequestPreVote, n.vote.Term+1)
}

// campaign starts an election in a new term.
func (n *Node) campaign(now clock.Millis) {
	n.role = Candidate
	n.vote = Vote{Term: n.vote.Term + 1, For: n.ID}
	if !n.save(nil) {
		return
	}
	n.requestVotes(now, RequestVote, n.vote.Term)
}

// requestVotes sends a vote or pre-vote request to the other voters.
func (n *Node) requestVotes(now clock.Millis, k Kind, term uint64) {
	n.resetElectionDeadline(now)
	n.votes = map[string]bool{n.ID: true}
	n.forgotten = now + n.forgottenLease(now)
	i, t := n.Last()
	for _, id := range n.otherIDs() {
		if _, voter := n.members.Voters[id]; voter {
			n.send(Message{Kind: k, To: id, Term: term, Index: i, LogTerm: t})
		}
	}
	n.countVotes(now)
}

func (n *Node) stepVoteRequest(now clock.Millis, m Message) {
	i, t := n.Last()
	upToDate := m.LogTerm > t || (m.LogTerm == t && m.Index >= i)
	if m.Kind == RequestPreVote {
		ok := upToDate && m.Term > n.vote.Term && !n.hasRecentLeader(now)
		// A granted pre-vote carries the requested term.
		r := Message{Kind: PreVoteResponse, To: m.From, Granted: ok}
		if ok {
			r.Term = m.Term
		}
		n.send(r)
		return
	}
	mayVote := n.vote.For == "" || n.vote.For == m.From
	ok := m.Term == n.vote.Term && mayVote && upToDate && !n.hasRecentLeader(now)
	if ok {
		n.vote.For = m.From
		if !n.save(nil) {
			return
		}
		n.resetElectionDeadline(now)
	}
	n.send(Message{Kind: VoteResponse, To: m.From, Granted: ok, Forgotten: n.forgottenLease(now)})
}

// forgottenLease returns the time left of the longest lease of a leader to which the
// replica may have responded before it started. It has not responded to any if its disk
// was empty.
func (n *Node) forgottenLease(now clock.Millis) clock.Millis {
	if n.startTerm == 0 {
		return 0
	}
	return max(n.startedAt+n.ElectionTimeout-now, 0)
}

func (n *Node) stepVoteResponse(now clock.Millis, m Message) {
	if !m.Granted {
		return
	}
	preVote := m.Kind == PreVoteResponse && n.role == PreCandidate && m.Term == n.vote.Term+1
	vote := m.Kind == VoteResponse && n.role == Candidate && m.Term == n.vote.Term
	if !preVote && !vote {
		return
	}
	n.votes[m.From] = true
	n.forgotten = max(n.forgotten, now+m.Forgotten)
	n.countVotes(now)
}

// countVotes starts the election after a pre-vote, or makes the replica leader
// after an election, once a majority of the voters has granted the vote.
func (n *Node) countVotes(now clock.Millis) {
	k := 0
	for id := range n.votes {
		if _, ok := n.members.Voters[id]; ok {
			k++
		}
	}
	if k < n.members.Quorum() {
		return
	}
	if n.role == PreCandidate {
		n.campaign(now)
		return
	}
	n.becomeLeader(now)
}
