package lease

import (
	"time"

	"github.com/pkg/errors"

	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	// staggerDelay is how much later than the witness before it in the row the next
	// witness requests votes.
	staggerDelay = 150 * time.Millisecond
	// voteRetryInterval is the time after which an unanswered vote request is repeated.
	voteRetryInterval = 100 * time.Millisecond
	// maxStoreSilence is the maximum time since the store's last answer at which votes
	// are still requested.
	maxStoreSilence = time.Second
)

var (
	// ErrUndecided is returned by Transaction before Decided has reported true.
	ErrUndecided = errors.New("not enough votes")
	// ErrIneligible is returned by Transaction if the closer or the holder is closed, or
	// if they are the same generation.
	ErrIneligible = errors.New("generation cannot take part in the takeover")
)

// VoteRequest is a request for a vote, and the witness that it is sent to.
type VoteRequest struct {
	To   wire.Generation
	Vote wire.Vote
}

// Takeover collects the votes that end the lease of one version of a holder's row. It
// is discarded when a later version of the row is read.
type Takeover struct {
	config
	row     wire.Member
	version uint64
	// firstRequest is when the first votes are requested.
	firstRequest time.Time
	voters       []voter
	decided      bool
	requests     []VoteRequest
}

// voter is the state of a Takeover about one witness.
type voter struct {
	witness wire.Generation
	voted   bool
	// closedAt is when this daemon learned that the witness is closed, or zero.
	closedAt time.Time
	// nextRequest is the earliest time of the next vote request to the witness.
	nextRequest time.Time
}

// NewTakeover returns a Takeover of the holder with the given member row at the given
// version.
func NewTakeover(row wire.Member, version uint64, now time.Time, opts ...Option) *Takeover {
	t := &Takeover{config: newConfig(opts), row: row, version: version}
	t.firstRequest = now
	for i, witness := range row.Witnesses {
		if witness == t.requester {
			t.firstRequest = now.Add(time.Duration(i) * staggerDelay)
		}
		t.voters = append(t.voters, voter{witness: witness})
	}
	return t
}

// VoteRequests returns the vote requests that are due. There are none once the store
// has not answered for a second: without the store, votes would end a lease that
// nobody can take over. The slice is valid until the next call.
func (t *Takeover) VoteRequests(now, storeAnswered time.Time) []VoteRequest {
	t.requests = t.requests[:0]
	if t.decided || now.Before(t.firstRequest) || now.Sub(storeAnswered) > maxStoreSilence {
		return t.requests
	}
	for i := range t.voters {
		v := &t.voters[i]
		if v.voted || now.Before(v.nextRequest) || (v.witness == t.requester && !t.oneVoteMissing(now)) {
			continue
		}
		v.nextRequest = now.Add(voteRetryInterval)
		vote := wire.Vote{From: t.requester, Holder: t.row.Generation}
		t.requests = append(t.requests, VoteRequest{To: v.witness, Vote: vote})
	}
	return t.requests
}

// AddVerdict records a witness's reply to a vote request.
func (t *Takeover) AddVerdict(now time.Time, from wire.Generation, v wire.Verdict) {
	if v.Holder != t.row.Generation {
		return
	}
	for i := range t.voters {
		if t.voters[i].witness != from {
			continue
		}
		if v.Expired {
			t.voters[i].voted = true
			continue
		}
		t.voters[i].nextRequest = now.Add(v.Wait)
	}
}

// AddClosedWitness records the row of a witness that is itself closed. It counts as a
// vote once TTL has passed, unless it was closed on the basis of closed witnesses: the
// row of such a witness lists no witnesses.
func (t *Takeover) AddClosedWitness(witness wire.Member, now time.Time) {
	if witness.State != wire.StateClosed {
		return
	}
	if len(witness.Witnesses) == 0 && !t.faults.AnyClosed {
		return
	}
	for i := range t.voters {
		if t.voters[i].witness == witness.Generation && t.voters[i].closedAt.IsZero() {
			t.voters[i].closedAt = now
		}
	}
}

// Decided reports whether the lease has certainly ended. A holder whose row lists no
// witnesses never had a lease, so no votes are needed.
func (t *Takeover) Decided(now time.Time) bool {
	if t.decided {
		return true
	}
	_, needed := Quorum(len(t.voters))
	if t.faults.FewVotes {
		needed--
	}
	t.decided = t.voteCount(now) >= needed && len(t.voters) <= MaxWitnesses
	return t.decided
}

// Transaction returns the transaction that closes the holder's row in favor of heirs.
// It applies only if the holder's row is still at the version voted on and the
// closer's row is still at closerVersion.
func (t *Takeover) Transaction(
	closer wire.Member, closerVersion uint64, heirs []wire.Generation, change, reason string,
) (storage.Transaction, error) {
	if !t.decided {
		return storage.Transaction{}, ErrUndecided
	}
	return t.closeTransaction(closer, closerVersion, heirs, change, reason, t.hasVoteQuorum())
}

// SuccessorTransaction returns the transaction that closes the holder's row without
// votes. The closer must have been listening on the holder's peer address for longer
// than TTL: answers are sent to that address, so the holder has received none since.
func (t *Takeover) SuccessorTransaction(
	closer wire.Member, closerVersion uint64, heirs []wire.Generation, change, reason string,
) (storage.Transaction, error) {
	if closer.Instance != t.row.Instance || closer.Peer != t.row.Peer || !closer.Peer.IsValid() {
		return storage.Transaction{}, ErrIneligible
	}
	return t.closeTransaction(closer, closerVersion, heirs, change, reason, true)
}

// closeTransaction returns the write of the closed row. The closed row can count as a
// vote only if the end of the lease is certain without relying on closed witnesses.
func (t *Takeover) closeTransaction(
	closer wire.Member, closerVersion uint64, heirs []wire.Generation, change, reason string, certain bool,
) (storage.Transaction, error) {
	if closer.State == wire.StateClosed || t.row.State == wire.StateClosed ||
		closer.Generation == t.row.Generation {
		return storage.Transaction{}, ErrIneligible
	}
	tx, err := Closing{
		Row: t.row, Version: t.version, Closer: closer.Generation, CloserVersion: closerVersion,
		Heirs: heirs, Witnesses: t.closedRowWitnesses(closer.Generation, certain), Change: change, Reason: reason,
	}.Transaction()
	if err != nil {
		return storage.Transaction{}, err
	}
	if t.faults.AnyVersion {
		tx.Conditions = tx.Conditions[:1]
	}
	return tx, nil
}

// voteCount counts the votes received and the closed witnesses that count as votes.
func (t *Takeover) voteCount(now time.Time) int {
	n := 0
	for _, v := range t.voters {
		if v.voted || t.closedLongEnough(now, v) {
			n++
		}
	}
	return n
}

// oneVoteMissing reports whether one more vote decides the takeover. A requester that
// is itself a witness votes only then, so that one that is partitioned from its peers
// does not bind itself in vain.
func (t *Takeover) oneVoteMissing(now time.Time) bool {
	_, needed := Quorum(len(t.voters))
	return t.voteCount(now) >= needed-1
}

// closedRowWitnesses returns the witnesses that the closed row lists: none if the row
// is closed on the basis of closed witnesses. The closer replaces an empty set, which
// needed no votes.
func (t *Takeover) closedRowWitnesses(closer wire.Generation, certain bool) []wire.Generation {
	switch {
	case !certain:
		return nil
	case len(t.row.Witnesses) == 0:
		return []wire.Generation{closer}
	default:
		return t.row.Witnesses
	}
}

// hasVoteQuorum reports whether the votes received suffice without closed witnesses.
func (t *Takeover) hasVoteQuorum() bool {
	_, needed := Quorum(len(t.voters))
	votes := 0
	for _, v := range t.voters {
		if v.voted {
			votes++
		}
	}
	return votes >= needed
}

// closedLongEnough reports whether a witness has been closed for so long that none of
// its renewals can still be valid.
func (t *Takeover) closedLongEnough(now time.Time, v voter) bool {
	if v.closedAt.IsZero() {
		return false
	}
	return t.faults.ClosedAtOnce || now.Sub(v.closedAt) >= t.ttl
}
