package lease

import (
	"time"

	"github.com/pkg/errors"

	"fulmarrun/storage"
	"fulmarrun/wire"
)

const (
	// stagger is how much later than the one before it the next witness asks.
	stagger = 150 * time.Millisecond
	// askAgain is the time after which an unanswered question is repeated.
	askAgain = 100 * time.Millisecond
	// storeFresh is how long ago the store may have answered at most for votes
	// to be asked for.
	storeFresh = time.Second
)

var (
	// ErrUndecided is returned by Transaction before Decided reported true.
	ErrUndecided = errors.New("not enough votes")
	// ErrIneligible is returned by Transaction if the closer or the holder is
	// closed, or if they are one and the same.
	ErrIneligible = errors.New("generation cannot take part in the takeover")
)

// VoteRequest is a request for a vote and the witness it goes to.
type VoteRequest struct {
	To   wire.Generation
	Vote wire.Vote
}

// Takeover gathers the votes that end one version of a holder's row. It is
// dropped when the row is seen at a later version.
type Takeover struct {
	config
	row     wire.Member
	version uint64
	// start is when the first votes are asked for.
	start   time.Time
	voters  []voter
	decided bool
	asked   []VoteRequest
}

// voter is what a Takeover knows about one witness.
type voter struct {
	witness wire.Generation
	voted   bool
	// closed is when the closing of the witness was learned, or zero.
	closed time.Time
	// next is when the witness may be asked again.
	next time.Time
}

// NewTakeover returns a Takeover of the holder whose member row is row at the
// given version.
func NewTakeover(row wire.Member, version uint64, now time.Time, opts ...Option) *Takeover {
	t := &Takeover{config: newConfig(opts), row: row, version: version}
	t.start = now
	for i, witness := range row.Witnesses {
		if witness == t.asker {
			t.start = now.Add(time.Duration(i) * stagger)
		}
		t.voters = append(t.voters, voter{witness: witness})
	}
	return t
}

// VoteRequests returns the requests for votes that are due. There are none while the
// store has not answered for a second: without it the votes would end a lease
// that nobody can take over. The slice is valid until the next call.
func (t *Takeover) VoteRequests(now, storeAnswered time.Time) []VoteRequest {
	t.asked = t.asked[:0]
	if t.decided || now.Before(t.start) || now.Sub(storeAnswered) > storeFresh {
		return t.asked
	}
	for i := range t.voters {
		v := &t.voters[i]
		if v.voted || now.Before(v.next) || (v.witness == t.asker && !t.lastMissing(now)) {
			continue
		}
		v.next = now.Add(askAgain)
		vote := wire.Vote{From: t.asker, Holder: t.row.Generation}
		t.asked = append(t.asked, VoteRequest{To: v.witness, Vote: vote})
	}
	return t.asked
}

// AddVerdict takes a witness's testimony.
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
		t.voters[i].next = now.Add(v.Wait)
	}
}

// AddClosedWitness takes the row of a witness that is itself closed. It counts as a vote
// once TTL has passed, unless its own closing rested on closed witnesses: such
// a row names no witnesses.
func (t *Takeover) AddClosedWitness(witness wire.Member, now time.Time) {
	if witness.State != wire.StateClosed {
		return
	}
	if len(witness.Witnesses) == 0 && !t.faults.AnyClosed {
		return
	}
	for i := range t.voters {
		if t.voters[i].witness == witness.Generation && t.voters[i].closed.IsZero() {
			t.voters[i].closed = now
		}
	}
}

// Decided reports whether the lease is known to have ended. A row without
// witnesses never gave a lease, so that no votes are needed.
func (t *Takeover) Decided(now time.Time) bool {
	if t.decided {
		return true
	}
	_, needed := Quorum(len(t.voters))
	if t.faults.FewVotes {
		needed--
	}
	t.decided = t.votes(now) >= needed && len(t.voters) <= MaxWitnesses
	return t.decided
}

// Transaction returns the one write that closes the holder's row in favour of
// heirs. It applies only if the row is still the one that the votes are about
// and the closer's own row is still as it knows it.
func (t *Takeover) Transaction(
	closer wire.Member, closerVersion uint64, heirs []wire.Generation, change, reason string,
) (storage.Transaction, error) {
	if !t.decided {
		return storage.Transaction{}, ErrUndecided
	}
	return t.close(closer, closerVersion, heirs, change, reason, t.byVotesAlone())
}

// SuccessorTransaction returns the write that closes the holder's row without votes. The
// closer must have received at the holder's peer address for longer than TTL:
// answers are sent to that address, so that none has reached the holder since.
func (t *Takeover) SuccessorTransaction(
	closer wire.Member, closerVersion uint64, heirs []wire.Generation, change, reason string,
) (storage.Transaction, error) {
	if closer.Instance != t.row.Instance || closer.Peer != t.row.Peer || !closer.Peer.IsValid() {
		return storage.Transaction{}, ErrIneligible
	}
	return t.close(closer, closerVersion, heirs, change, reason, true)
}

// close returns the write of the closed row. Only if the end of the lease is
// certain without trust in closed witnesses can the row count as a vote.
func (t *Takeover) close(
	closer wire.Member, closerVersion uint64, heirs []wire.Generation, change, reason string, certain bool,
) (storage.Transaction, error) {
	if closer.State == wire.StateClosed || t.row.State == wire.StateClosed ||
		closer.Generation == t.row.Generation {
		return storage.Transaction{}, ErrIneligible
	}
	tx, err := Closing{
		Row: t.row, Version: t.version, Closer: closer.Generation, CloserVersion: closerVersion,
		Heirs: heirs, Witnesses: t.proof(closer.Generation, certain), Change: change, Reason: reason,
	}.Transaction()
	if err != nil {
		return storage.Transaction{}, err
	}
	if t.faults.AnyVersion {
		tx.Conditions = tx.Conditions[:1]
	}
	return tx, nil
}

// votes counts the votes given and the witnesses that count as votes.
func (t *Takeover) votes(now time.Time) int {
	n := 0
	for _, v := range t.voters {
		if v.voted || t.expired(now, v) {
			n++
		}
	}
	return n
}

// lastMissing reports whether one more vote decides. An asker asks itself only
// then, so that one that is cut off from its peers binds itself to nothing.
func (t *Takeover) lastMissing(now time.Time) bool {
	_, needed := Quorum(len(t.voters))
	return t.votes(now) >= needed-1
}

// proof returns the witnesses that the closed row is to name: none if its
// closing rests on closed witnesses. In place of an empty set, which needed no
// votes, stands the closer.
func (t *Takeover) proof(closer wire.Generation, certain bool) []wire.Generation {
	switch {
	case !certain:
		return nil
	case len(t.row.Witnesses) == 0:
		return []wire.Generation{closer}
	default:
		return t.row.Witnesses
	}
}

// byVotesAlone reports whether the votes given in person suffice.
func (t *Takeover) byVotesAlone() bool {
	_, needed := Quorum(len(t.voters))
	votes := 0
	for _, v := range t.voters {
		if v.voted {
			votes++
		}
	}
	return votes >= needed
}

// expired reports whether a witness was closed so long ago that none of its
// renewals can still live.
func (t *Takeover) expired(now time.Time, v voter) bool {
	if v.closed.IsZero() {
		return false
	}
	return t.faults.ClosedAtOnce || now.Sub(v.closed) >= t.ttl
}
