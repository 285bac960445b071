package peer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarrun/peer"
	"fulmarrun/wire"
)

// startTruncatingProxy forwards connections to addr. It closes the n-th connection
// after replyLimits[n] bytes of replies; a limit of zero, or none, leaves the
// connection open.
func startTruncatingProxy(t testing.TB, addr netip.AddrPort, replyLimits []int) netip.AddrPort {
	l, proxyAddr := listenTCP(t)
	go func() {
		for n := 0; ; n++ {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", addr.String())
			if err != nil {
				_ = in.Close()
				continue
			}
			go func() {
				_, _ = io.Copy(out, in)
				_ = out.Close()
			}()
			go func() {
				var replies io.Reader = out
				if n < len(replyLimits) && replyLimits[n] > 0 {
					replies = io.LimitReader(out, int64(replyLimits[n]))
				}
				_, _ = io.Copy(in, replies)
				_ = in.Close()
				_ = out.Close()
			}()
		}
	}()
	return proxyAddr
}

// callPlan is one call of a test run: the size of its reply in bytes and the delay of
// the reply in units of 100 µs.
type callPlan struct {
	replySize, replyDelay int
}

// callConcurrently makes all calls at the same time, three times each. It returns how
// many calls got a reply that was not their own complete one, and how many got the
// right reply; calls that return an error count as neither.
func callConcurrently(t testing.TB, plans []callPlan, replyLimits []int, opts ...peer.Option) (wrongReplies, completeReplies int) {
	replyData := func(i int) string { return fmt.Sprintf("%d:%s", i, strings.Repeat("x", plans[i].replySize)) }
	l, addr := listenTCP(t)
	s := peer.NewServer()
	peer.Handle(s, peer.KindFetch, func(_ context.Context, q *wire.FetchObject) (*wire.Object, error) {
		var i int
		_, _ = fmt.Sscanf(q.Digest, "%d", &i)
		time.Sleep(time.Duration(plans[i].replyDelay) * 100 * time.Microsecond)
		return &wire.Object{Data: []byte(replyData(i))}, nil
	})
	go func() { _ = s.Serve(l) }()
	client := peer.NewClient(opts...)
	defer func() { client.Close(); _ = l.Close(); s.Close() }()
	proxyAddr := startTruncatingProxy(t, addr, replyLimits)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range plans {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 3 {
				limit := waitLimit
				if i%5 == 4 {
					limit = time.Duration(plans[i].replyDelay) * 100 * time.Microsecond
				}
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				got, err := fetchContext(ctx, client, proxyAddr, fmt.Sprint(i))
				cancel()
				mu.Lock()
				switch {
				case err == nil && got != replyData(i):
					wrongReplies++
				case err == nil:
					completeReplies++
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return wrongReplies, completeReplies
}

func TestEachCallGetsItsOwnReply(t *testing.T) {
	cases := []struct {
		name      string
		opts      []peer.Option
		wantWrong bool
	}{
		{"no mutation", nil, false},
		{"mutation: replies matched by call order", []peer.Option{peer.WithRepliesInCallOrder()}, true},
		{"mutation: truncated reply accepted", []peer.Option{peer.WithTruncatedBodies()}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			params := gopter.DefaultTestParametersWithSeed(4)
			params.MinSuccessfulTests, params.MaxShrinkCount = 40, 0
			wrongReplies, completeReplies := 0, 0
			property := prop.ForAll(func(sizes, delays, replyLimits []int) bool {
				plans := make([]callPlan, min(len(sizes), len(delays)))
				for i := range plans {
					plans[i] = callPlan{replySize: sizes[i], replyDelay: delays[i]}
				}
				wrong, complete := callConcurrently(t, plans, replyLimits, c.opts...)
				wrongReplies, completeReplies = wrongReplies+wrong, completeReplies+complete
				return wrong == 0
			},
				gen.SliceOfN(12, gen.IntRange(0, 20_000)), gen.SliceOfN(12, gen.IntRange(0, 20)),
				gen.SliceOfN(3, gen.IntRange(0, 150_000)))
			result := property.Check(params)
			if result.Passed() == c.wantWrong {
				t.Errorf("%d wrong replies, %d complete replies, property %v", wrongReplies, completeReplies, result.Status)
			}
			if !c.wantWrong && completeReplies < 100 {
				t.Errorf("only %d complete replies, want at least 100", completeReplies)
			}
		})
	}
}
