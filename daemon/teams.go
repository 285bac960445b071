package daemon

import (
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"

	"fulmarrun/logs"
	"fulmarrun/operator"
	"fulmarrun/wire"
)

// Names of metrics of teams; docs/OPERATIONS.md lists them.
const (
	metricTeamRequests = "teams.requests"
	metricTeamRejected = "teams.rejected"
	metricTeamLimited  = "teams.limited"
)

const (
	// maxTeams bounds the teams with metrics of their own, since a configuration may define
	// thousands.
	maxTeams = 32
	// otherTeam is the label of all teams beyond maxTeams.
	otherTeam = "other"
)

// teamSeries is a metric of a team with its labels. The outcome is empty if the metric has none.
type teamSeries struct {
	metric, team, outcome string
}

// teamCounters count the requests of teams. A metric is registered when it is first counted, so
// that a daemon without teams has none.
type teamCounters struct {
	registry metrics.Registry

	mu sync.RWMutex
	// named are the teams that have labels of their own.
	named    map[string]bool
	counters map[teamSeries]metrics.Counter
}

func newTeamCounters(r metrics.Registry) *teamCounters {
	return &teamCounters{registry: r, named: make(map[string]bool), counters: make(map[teamSeries]metrics.Counter)}
}

// count counts a request of a team by its outcome; it ignores requests of no team.
func (c *teamCounters) count(team string, r *wire.Response) {
	if team != "" {
		c.counter(teamSeries{metric: metricTeamRequests, team: team, outcome: r.Outcome.String()}).Inc(1)
	}
}

// limit counts a request over the limit of its team.
func (c *teamCounters) limit(team string) {
	c.counter(teamSeries{metric: metricTeamLimited, team: team}).Inc(1)
}

// counter returns the counter of a series.
func (c *teamCounters) counter(s teamSeries) metrics.Counter {
	c.mu.RLock()
	counter := c.counters[s]
	c.mu.RUnlock()
	if counter == nil {
		counter = c.register(s)
	}
	return counter
}

// register returns the counter of a series and registers it if necessary.
func (c *teamCounters) register(s teamSeries) metrics.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.team = c.label(s.team); c.counters[s] == nil {
		labels := []string{"team", s.team}
		if s.outcome != "" {
			labels = append(labels, "outcome", s.outcome)
		}
		c.counters[s] = metrics.GetOrRegisterCounter(operator.LabelledName(s.metric, labels...), c.registry)
	}
	return c.counters[s]
}

// label returns the label of a team: its name, or otherTeam. The caller holds the lock.
func (c *teamCounters) label(team string) string {
	if !c.named[team] && len(c.named) >= maxTeams {
		return otherTeam
	}
	c.named[team] = true
	return team
}

// reject counts a request that was refused for the lack of a valid key.
func (c *teamCounters) reject(r *wire.Response) {
	if r.Outcome == wire.OutcomeNotRun && r.Status == http.StatusUnauthorized {
		metrics.GetOrRegisterCounter(metricTeamRejected, c.registry).Inc(1)
	}
}

// teamOf returns the name of the team that a request belongs to; empty if it belongs to none. If
// the configuration has no teams, a header of a caller can say anything.
func (d *Daemon) teamOf(req *wire.Request) string {
	table := d.table.Load()
	if d.protocols.TeamOf == nil || table == nil || !table.HasTeams() {
		return ""
	}
	return d.protocols.TeamOf(req)
}

// RecordTeamRefusal counts and logs a request of a team that was refused before it was routed. The
// team is empty if the request belongs to none.
func (d *Daemon) RecordTeamRefusal(r *http.Request, id, team string, response *wire.Response) {
	d.counters.countRequest(noKind, noKind, response, 0)
	d.teamCounters.count(team, response)
	d.teamCounters.reject(response)
	d.logRequestLine(logs.EventRequestRefused, id, team, func() []any {
		return []any{
			logs.FieldHost, truncate(r.Host), logs.FieldPath, truncate(r.URL.Path), logs.FieldOutcome, response.Outcome,
			logs.FieldReason, response.Reason, logs.FieldStatus, response.Status,
		}
	})
}
