package daemon

import (
	"context"
	"fmt"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"fulmarrun/config"
	"fulmarrun/logs"
	"fulmarrun/peer"
	"fulmarrun/quota"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// ReasonQuota is the reason of requests that were refused because of their team's limit.
const ReasonQuota = "quota"

// Names of metrics; docs/OPERATIONS.md lists them.
const (
	metricTeamsLent      = "teams.lent"
	metricTeamsAsked     = "teams.asked"
	metricTeamsUnchecked = "teams.unchecked"
)

// tokens connects the limits of teams to the daemon.
type tokens struct {
	d       *Daemon
	limiter *quota.Limiter

	// generation and snapshot are those of list. Only the limiter's Members uses them, which the
	// limiter calls with its lock held.
	generation wire.Generation
	snapshot   *routes.Snapshot
	list       []quota.Member
}

func newTokens(d *Daemon) *tokens {
	t := &tokens{d: d, limiter: quota.NewLimiter(d.quota...)}
	t.limiter.Self, t.limiter.Members = t.self, t.members
	t.limiter.Team, t.limiter.HasLease, t.limiter.Call = t.team, d.server.HasLease, t.call
	return t
}

// observe must be called at each tick of the control goroutine.
func (t *tokens) observe() {
	if table := t.d.table.Load(); table != nil && table.HasTeams() {
		t.limiter.Observe()
	}
}

// TakeToken takes a token for a request of a team, which may be nil. If refusal is nil, the request
// may run, and release must be called with its final response. A team without a limit costs nothing.
func (d *Daemon) TakeToken(ctx context.Context, team *config.Team) (release func(*wire.Response), refusal *wire.Response) {
	if team == nil || !team.Limited() {
		return func(*wire.Response) {}, nil
	}
	decision := d.tokens.limiter.Take(ctx, team)
	d.tokens.report(ctx, team.Name, decision)
	if decision.Verdict != quota.Granted {
		return nil, newQuotaRefusal(decision)
	}
	return func(r *wire.Response) {
		if r != nil && r.Outcome == wire.OutcomeNotRun {
			d.tokens.limiter.Return(decision.Token)
		}
	}, nil
}

// newQuotaRefusal returns the response to a request that got no token.
func newQuotaRefusal(decision quota.Decision) *wire.Response {
	refusal := wire.Refuse(ReasonQuota, decision.RetryAfter)
	refusal.Status = http.StatusServiceUnavailable
	if decision.Verdict == quota.OverLimit {
		refusal.Status = http.StatusTooManyRequests
	}
	return refusal
}

// report counts a decision, and logs when a team starts or ceases to be limited.
func (t *tokens) report(ctx context.Context, team string, decision quota.Decision) {
	switch decision.Verdict {
	case quota.OverLimit:
		t.d.teamCounters.limit(team)
	case quota.Unchecked:
		// If the caller has gone, the lenders were not waited for.
		if ctx.Err() == nil {
			t.count(metricTeamsUnchecked, 1)
		}
	}
	if decision.Started {
		t.d.log.Info(logs.EventTeamLimited, logs.FieldTeam, team)
	}
	if decision.Stopped {
		t.d.log.Info(logs.EventTeamNotLimited, logs.FieldTeam, team)
	}
}

// count adds to a metric, which is registered when it is first counted, so that a daemon without
// teams has none.
func (t *tokens) count(metric string, n int64) {
	metrics.GetOrRegisterCounter(metric, t.d.registry).Inc(n)
}

// lend answers another daemon's request for tokens.
func (t *tokens) lend(_ context.Context, req *wire.TokenRequest) (*wire.Tokens, error) {
	answer := t.limiter.Lend(req)
	t.count(metricTeamsLent, int64(answer.Count))
	return answer, nil
}

func (t *tokens) call(ctx context.Context, to quota.Member, req *wire.TokenRequest) (*wire.Tokens, error) {
	t.count(metricTeamsAsked, 1)
	answer, err := peer.Call[wire.Tokens](ctx, t.d.peers, to.Peer, peer.KindTokens, req)
	if err != nil {
		return nil, fmt.Errorf("ask %s for tokens: %w", to.Generation, err)
	}
	return answer, nil
}

func (t *tokens) team(name string) (*config.Team, bool) {
	table := t.d.table.Load()
	if table == nil {
		return nil, false
	}
	return table.Team(name)
}

func (t *tokens) self() (quota.Member, bool) {
	state := t.d.server.ServingState()
	return quota.Member{Generation: state.Generation, Domain: state.Domain}, state.Generation != 0 && state.Snapshot != nil
}

// members returns the open members. The slice is the same until they change.
func (t *tokens) members() []quota.Member {
	state := t.d.server.ServingState()
	if t.generation == state.Generation && state.Snapshot.SameOwners(t.snapshot) {
		// An older snapshot must not be kept in memory.
		t.snapshot = state.Snapshot
		return t.list
	}
	owners := state.Snapshot.AllMembers()
	list := make([]quota.Member, 0, len(owners))
	for _, o := range owners {
		list = append(list, quota.Member{Generation: o.Generation, Domain: o.Domain, Peer: o.Peer})
	}
	t.generation, t.snapshot, t.list = state.Generation, state.Snapshot, list
	return list
}
