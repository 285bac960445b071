package daemon

import (
	"context"
	"time"

	"fulmarrun/logs"
	"fulmarrun/storage"
)

// summaryInterval is how often the log sums up events that it does not log one by one.
const summaryInterval = 10 * time.Second

// logSummaries periodically logs a summary of the requests served and refused.
func (d *Daemon) logSummaries(ctx context.Context) error {
	before, sentBefore, crowded := d.counters.totals(), d.gate.Stats().Admitted, d.clients.Stats()
	for storage.Sleep(ctx, summaryInterval) == nil {
		now := d.counters.totals()
		stats, condition := d.gate.Stats(), d.condition.current()
		fields := append(d.stateFields(),
			logs.FieldAnswered, now.answered-before.answered, logs.FieldRefused, now.refused-before.refused,
			logs.FieldUnknown, now.unknown-before.unknown, logs.FieldLinesHidden, now.hidden-before.hidden,
			logs.FieldInFlight, stats.InFlight, logs.FieldWaiting, stats.Queued, logs.FieldLimit, stats.Limit, logs.FieldOwned, d.status().Slots,
			logs.FieldSent, stats.Admitted-sentBefore, logs.FieldLimited, condition.RateLimited, logs.FieldRate, condition.RateLimit,
		)
		clients := d.clients.Stats()
		if clients.Evicted+clients.Refused > crowded.Evicted+crowded.Refused {
			d.log.Warn(logs.EventClientsEvicted, logs.FieldClients, clients.Clients, logs.FieldMemory, clients.Used,
				logs.FieldEvicted, clients.Evicted-crowded.Evicted, logs.FieldRefused, clients.Refused-crowded.Refused)
		}
		crowded = clients
		d.log.Info(logs.EventSummary, fields...)
		before, sentBefore = now, stats.Admitted
	}
	return nil
}
