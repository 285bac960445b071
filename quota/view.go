package quota

import (
	"slices"
	"time"
)

const (
	// settleTime is how long a daemon must have known a member before it treats it as a lender.
	// By then all other daemons know it too.
	settleTime = time.Second
	// retireTime is how long a lender goes on lending after it has learned of the member that
	// replaces it. It is shorter than settleTime, so that the old lender has stopped when the
	// new one starts, unless the news took longer than the difference.
	retireTime = settleTime / 2
	// maxUnobserved is how long a View may go without Observe. After a longer time, as after a
	// pause of the process, members may have come and gone unseen.
	maxUnobserved = settleTime
)

// Choice is who lends the tokens of a team.
type Choice struct {
	// Lenders are the lenders in the view of this daemon.
	Lenders []Member
	// Lending is true if this daemon is one of them and may lend.
	Lending bool
	// Since is the time since which this daemon has certainly been a lender without interruption.
	Since time.Time
	// Shares is the number of lenders among which the rate and the burst are divided.
	Shares int
}

// View is what a daemon knows about the open members. The zero value is empty.
type View struct {
	self Member
	// history holds the lists of members that were in force within settleTime, the present one
	// last. A generation that is closed never returns, so a member has been known for as long as
	// the lists contain it.
	history  []memberList
	observed time.Time
	// steady is the time since which this daemon has had its generation and its lease, and has
	// observed all changes.
	steady time.Time
	// changed is when the choices were last dropped, and next when they must be dropped because
	// a member has been known for long enough.
	changed, next time.Time
	choices       map[string]Choice
	// lending is true if this daemon is the lender in one of choices.
	lending bool
}

// memberList is the list of open members that came into force at a time.
type memberList struct {
	at      time.Time
	members []Member
}

// Observe records the open members and whether this daemon has its lease. The members must be
// ordered by generation, must not be modified, and are taken to be unchanged if it is the same
// slice as before. Observe reports whether choices may have changed and whether this daemon must
// start anew as a lender.
func (v *View) Observe(now time.Time, self Member, members []Member, leased bool) (changed, interrupted bool) {
	interrupted = self.Generation != v.self.Generation || !leased || now.Sub(v.observed) > maxUnobserved
	if interrupted {
		v.steady = now
		changed = v.lending
		if v.next.IsZero() {
			v.next = now.Add(settleTime)
		}
	}
	v.self, v.observed = self, now
	if len(v.history) == 0 || !sameSlice(v.members(), members) {
		v.history = append(v.history, memberList{at: now, members: members})
		changed = true
	}
	if !changed && (v.next.IsZero() || now.Before(v.next)) {
		return false, interrupted
	}
	v.dropChoices(now)
	return true, interrupted
}

// sameSlice reports whether a and b are the same part of the same array.
func sameSlice(a, b []Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// members returns the open members.
func (v *View) members() []Member { return v.history[len(v.history)-1].members }

// asOf returns the members that were open at a time within settleTime.
func (v *View) asOf(at time.Time) []Member {
	for _, list := range slices.Backward(v.history) {
		if !list.at.After(at) {
			return list.members
		}
	}
	return nil
}

// dropChoices makes the next Choose decide anew.
func (v *View) dropChoices(now time.Time) {
	v.changed, v.next = now, time.Time{}
	for len(v.history) > 1 && !v.history[1].at.After(now.Add(-settleTime)) {
		v.history = v.history[1:]
	}
	v.wake(v.steady)
	for _, list := range v.history {
		v.wake(list.at)
	}
	previous := v.choices
	v.lending = false
	v.choices = make(map[string]Choice, len(previous))
	for team, choice := range previous {
		// A choice that is not needed any more is kept only where continuity depends on it.
		if choice.Lending {
			v.choices[team] = v.choose(team, choice)
		}
	}
}

// wake drops the choices again when what has been known since a time has been known for long enough.
func (v *View) wake(since time.Time) {
	for _, age := range []time.Duration{retireTime, settleTime} {
		if at := since.Add(age); at.After(v.changed) && (v.next.IsZero() || at.Before(v.next)) {
			v.next = at
		}
	}
}

// Choose returns the lenders of a team as of the last Observe.
func (v *View) Choose(team string) Choice {
	choice, ok := v.choices[team]
	if !ok {
		choice = v.choose(team, Choice{})
		if v.choices == nil {
			v.choices = make(map[string]Choice)
		}
		v.choices[team] = choice
	}
	return choice
}

func (v *View) choose(team string, previous Choice) Choice {
	if len(v.history) == 0 {
		return Choice{}
	}
	members := v.members()
	settled := choose(team, members, knownIn(v.asOf(v.changed.Add(-settleTime)), members))
	chosen := settled
	if len(chosen) == 0 {
		chosen = choose(team, members, func(int) bool { return true })
	}
	choice := Choice{Shares: min(maxLenders, len(members)), Since: v.changed, Lenders: make([]Member, 0, len(chosen))}
	for _, i := range chosen {
		choice.Lenders = append(choice.Lenders, members[i])
	}
	isSelf := func(i int) bool { return members[i].Generation == v.self.Generation }
	choice.Lending = v.changed.Sub(v.steady) >= settleTime && slices.ContainsFunc(settled, isSelf) &&
		slices.ContainsFunc(choose(team, members, knownIn(v.asOf(v.changed.Add(-retireTime)), members)), isSelf)
	v.lending = v.lending || choice.Lending
	if choice.Lending && previous.Lending {
		choice.Since = previous.Since
	}
	return choice
}

// knownIn returns a function that reports whether a member is also in an earlier list. It must be
// called with ascending indices. Both lists are ordered by generation.
func knownIn(earlier, members []Member) func(index int) bool {
	if sameSlice(earlier, members) {
		return func(int) bool { return true }
	}
	next := 0
	return func(i int) bool {
		for next < len(earlier) && earlier[next].Generation < members[i].Generation {
			next++
		}
		return next < len(earlier) && earlier[next].Generation == members[i].Generation
	}
}
