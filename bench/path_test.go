package bench_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"fulmarrun/caller"
	"fulmarrun/demo"
	"fulmarrun/operator"
	"fulmarrun/targetstub"
)

// cpu returns the processor time of this process.
func cpu(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkPath reports the processor time of one request, with the caller, the
// daemons and the target in one process. The caller and the target are the whole
// of "direct", so that a difference is what the daemons take.
func BenchmarkPath(b *testing.B) {
	c, err := demo.Start(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Stop()
	for outcome := ""; outcome != "answered"; time.Sleep(20 * time.Millisecond) {
		outcome = send(b, c.Nodes[0].Settings.Caller, "/agenda/visits/17", "")
	}
	reply, err := operator.NewClient(c.Nodes[0].Settings.Operator).
		Key(context.Background(), operator.KeyRequest{Service: "agenda", Key: "17"})
	if err != nil {
		b.Fatal(err)
	}
	var owner, other *demo.Node
	for _, n := range c.Nodes {
		if n.Settings.Instance == reply.Instance {
			owner = n
		} else {
			other = n
		}
	}
	time.Sleep(2 * time.Second)
	for _, p := range []struct {
		name string
		addr netip.AddrPort
		path string
	}{
		{"direct", owner.Target.Address(), "/visits/17"},
		{"local", owner.Settings.Caller, "/agenda/visits/17"},
		{"forwarded", other.Settings.Caller, "/agenda/visits/17"},
	} {
		b.Run(p.name, func(b *testing.B) {
			before := cpu(b)
			for b.Loop() {
				send(b, p.addr, p.path, uuid.Must(uuid.NewV7()).String())
			}
			b.ReportMetric(float64((cpu(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkIdle reports the processor time of a daemon without requests, its
// stub target and its share of the platform's stand-in included, against how
// often the target announces itself.
func BenchmarkIdle(b *testing.B) {
	for _, interval := range []time.Duration{200 * time.Millisecond, time.Second} {
		b.Run("announce="+interval.String(), func(b *testing.B) {
			c, err := demo.Start(context.Background(), demo.WithTargetOptions(targetstub.WithInterval(interval)))
			if err != nil {
				b.Fatal(err)
			}
			defer c.Stop()
			time.Sleep(4 * time.Second)
			b.ResetTimer()
			before := cpu(b)
			for range b.N {
				time.Sleep(10 * time.Millisecond)
			}
			spent := float64((cpu(b) - before).Microseconds())
			b.ReportMetric(spent/b.Elapsed().Seconds()/float64(len(c.Nodes)), "cpu-us/daemon-second")
		})
	}
}

func send(b *testing.B, to netip.AddrPort, path, id string) string {
	b.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+to.String()+path, nil)
	if err != nil {
		b.Fatal(err)
	}
	if id != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, id)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.Header.Get(caller.HeaderOutcome)
}
