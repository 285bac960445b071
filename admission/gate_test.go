package admission_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/admission"
)

// enterResult holds the results of one call of Enter.
type enterResult struct {
	permit admission.Permit
	err    error
}

// enter calls Enter in a separate goroutine.
func enter(ctx context.Context, g *admission.Gate, t admission.Ticket) chan enterResult {
	done := make(chan enterResult, 1)
	go func() {
		permit, err := g.Enter(ctx, t)
		done <- enterResult{permit, err}
	}()
	return done
}

func reason(err error) string {
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}

// fill takes every slot of a gate with a fixed limit.
func fill(t *testing.T, g *admission.Gate, limit int) []admission.Permit {
	t.Helper()
	permits := make([]admission.Permit, 0, limit)
	for range limit {
		permit, err := g.Enter(t.Context(), admission.Ticket{})
		if err != nil {
			t.Fatalf("take a free slot: %v", err)
		}
		permits = append(permits, permit)
	}
	return permits
}

func TestGateRefusesAtOnce(t *testing.T) {
	soon := func() time.Time { return time.Now().Add(time.Second) }
	cases := []struct {
		name   string
		ticket func() admission.Ticket
		act    func(g *admission.Gate, cancel context.CancelFunc)
		want   string
		after  time.Duration
	}{
		{
			name:   "deadline passed",
			ticket: func() admission.Ticket { return admission.Ticket{Deadline: time.Now().Add(-1)} },
			want:   admission.ReasonDeadline,
		},
		{
			name:   "too deep",
			ticket: func() admission.Ticket { return admission.Ticket{Depth: 4} },
			want:   admission.ReasonDepth,
		},
		{
			name:   "deadline comes while waiting",
			ticket: func() admission.Ticket { return admission.Ticket{Deadline: soon()} },
			want:   admission.ReasonDeadline,
			after:  time.Second,
		},
		{
			name:   "closed while waiting",
			ticket: func() admission.Ticket { return admission.Ticket{Deadline: soon()} },
			act:    func(g *admission.Gate, _ context.CancelFunc) { g.Close() },
			want:   admission.ReasonClosed,
		},
		{
			name:   "draining while waiting",
			ticket: func() admission.Ticket { return admission.Ticket{Deadline: soon()} },
			act: func(g *admission.Gate, _ context.CancelFunc) {
				g.Report(admission.Health{Draining: true})
			},
			want: admission.ReasonDraining,
		},
		{
			name:   "cancelled while waiting",
			ticket: func() admission.Ticket { return admission.Ticket{} },
			act:    func(_ *admission.Gate, cancel context.CancelFunc) { cancel() },
			want:   admission.ReasonCancelled,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := admission.NewGate(admission.WithFixedLimit(1))
				fill(t, g, 1)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				began := time.Now()
				done := enter(ctx, g, c.ticket())
				synctest.Wait()
				if c.act != nil {
					c.act(g, cancel)
				}
				got := <-done
				if reason(got.err) != c.want || time.Since(began) != c.after {
					t.Errorf("got %v after %v, want %s after %v", got.err, time.Since(began), c.want, c.after)
				}
			})
		})
	}
}

func TestGateFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewGate(admission.WithFixedLimit(1), admission.WithQueue(1))
		permit := fill(t, g, 1)[0]
		first := enter(t.Context(), g, admission.Ticket{})
		synctest.Wait()
		second := <-enter(t.Context(), g, admission.Ticket{})
		if reason(second.err) != admission.ReasonFull {
			t.Errorf("second request of a full queue: %v", second.err)
		}
		permit.Done(admission.Completion{})
		if got := <-first; got.err != nil {
			t.Errorf("queued request after a slot was released: %v", got.err)
		}
	})
}

func TestGatePauseHoldsAndResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewGate()
		g.Pause()
		done := enter(t.Context(), g, admission.Ticket{Deadline: time.Now().Add(time.Second)})
		synctest.Wait()
		if s := g.Stats(); s.InFlight != 0 || s.Queued != 1 {
			t.Errorf("paused gate: %+v", s)
		}
		g.Resume()
		if got := <-done; got.err != nil {
			t.Errorf("request after Resume: %v", got.err)
		}
	})
}

// TestGateCancelledAtAnyMoment cancels contexts while permits are released and
// assigned, and checks that afterwards all slots are free.
func TestGateCancelledAtAnyMoment(t *testing.T) {
	const limit, callers, turns = 3, 16, 200
	g := admission.NewGate(admission.WithFixedLimit(limit))
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range turns {
				ctx, cancel := context.WithCancel(context.Background())
				done := enter(ctx, g, admission.Ticket{})
				go cancel()
				if got := <-done; got.err == nil {
					got.permit.Done(admission.Completion{})
					got.permit.Done(admission.Completion{})
				}
			}
		})
	}
	wg.Wait()
	if s := g.Stats(); s.InFlight != 0 || s.Queued != 0 {
		t.Errorf("requests left in flight or queued: %+v", s)
	}
	fill(t, g, limit)
}

func BenchmarkGateUncontended(b *testing.B) {
	g := admission.NewGate()
	ticket := admission.Ticket{Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		permit, err := g.Enter(b.Context(), ticket)
		if err != nil {
			b.Fatal(err)
		}
		permit.Done(admission.Completion{Latency: time.Millisecond})
	}
}

func BenchmarkGateParallel(b *testing.B) {
	g := admission.NewGate(admission.WithStartLimit(1000))
	ticket := admission.Ticket{Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			permit, err := g.Enter(b.Context(), ticket)
			if err != nil {
				b.Error(err)
				return
			}
			permit.Done(admission.Completion{Latency: time.Millisecond})
		}
	})
}
