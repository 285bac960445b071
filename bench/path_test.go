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

// processorTime returns the user and system time that this process has used.
func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkPath reports the processor time of one request, with the caller, the daemons
// and the target in one process. "direct" includes only the caller and the target, so
// the difference to it is the cost of the daemons.
func BenchmarkPath(b *testing.B) {
	c, err := demo.Start(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Stop()
	for outcome := ""; outcome != "answered"; time.Sleep(20 * time.Millisecond) {
		outcome = sendRequest(b, c.Nodes[0].Settings.Caller, "/agenda/visits/17", "")
	}
	reply, err := operator.NewClient(c.Nodes[0].Settings.Operator).
		Key(context.Background(), operator.KeyRequest{Service: "agenda", Key: "17"})
	if err != nil {
		b.Fatal(err)
	}
	var owner, nonOwner *demo.Node
	for _, n := range c.Nodes {
		if n.Settings.Instance == reply.Instance {
			owner = n
		} else {
			nonOwner = n
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
		{"forwarded", nonOwner.Settings.Caller, "/agenda/visits/17"},
	} {
		b.Run(p.name, func(b *testing.B) {
			before := processorTime(b)
			for b.Loop() {
				sendRequest(b, p.addr, p.path, uuid.Must(uuid.NewV7()).String())
			}
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkIdle reports the processor time of a daemon without requests, including its
// stub target and its share of the platform stub, for different intervals at which the
// target announces itself.
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
			before := processorTime(b)
			for range b.N {
				time.Sleep(10 * time.Millisecond)
			}
			used := float64((processorTime(b) - before).Microseconds())
			b.ReportMetric(used/b.Elapsed().Seconds()/float64(len(c.Nodes)), "cpu-us/daemon-second")
		})
	}
}

func sendRequest(b *testing.B, addr netip.AddrPort, path, id string) string {
	b.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr.String()+path, nil)
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
