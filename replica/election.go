package replica

import "github.com/carawayrack/carawayrack/clock"

// standPreVote asks the voters whether they would vote, without disturbing
// their terms.
func (n *Node) standPreVote(now clock.Millis) {
	n.role = PreCandidate
	n.leader = ""
	n.ask(now, RequestPreVote, n.vote.Term+1)
}

func (n *Node) standVote(now clock.Millis) {
	n.role = Candidate
	n.vote = Vote{Term: n.vote.Term + 1, For: n.ID}
	if !n.save(nil) {
		return
	}
	n.ask(now, RequestVote, n.vote.Term)
}

func (n *Node) ask(now clock.Millis, k Kind, term uint64) {
	n.resetDeadline(now)
	n.votes = map[string]bool{n.ID: true}
	i, t := n.Last()
	for _, id := range n.others() {
		if _, voter := n.members.Voters[id]; voter {
			n.send(Message{Kind: k, To: id, Term: term, Index: i, LogTerm: t})
		}
	}
	n.count(now)
}

func (n *Node) stepAsk(now clock.Millis, m Message) {
	i, t := n.Last()
	fresh := m.LogTerm > t || (m.LogTerm == t && m.Index >= i)
	if m.Kind == RequestPreVote {
		ok := fresh && m.Term > n.vote.Term && !n.heardLeader(now)
		// A grant carries the term that was asked for.
		r := Message{Kind: PreVoteResponse, To: m.From, Granted: ok}
		if ok {
			r.Term = m.Term
		}
		n.send(r)
		return
	}
	free := n.vote.For == "" || n.vote.For == m.From
	ok := m.Term == n.vote.Term && free && fresh && !n.heardLeader(now)
	if ok {
		n.vote.For = m.From
		if !n.save(nil) {
			return
		}
		n.resetDeadline(now)
	}
	n.send(Message{Kind: VoteResponse, To: m.From, Granted: ok})
}

func (n *Node) stepGive(now clock.Millis, m Message) {
	if !m.Granted {
		return
	}
	pre := m.Kind == PreVoteResponse && n.role == PreCandidate && m.Term == n.vote.Term+1
	full := m.Kind == VoteResponse && n.role == Candidate && m.Term == n.vote.Term
	if !pre && !full {
		return
	}
	n.votes[m.From] = true
	n.count(now)
}

func (n *Node) count(now clock.Millis) {
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
		n.standVote(now)
		return
	}
	n.lead(now)
}
