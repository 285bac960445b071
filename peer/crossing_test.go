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

// relay passes connections on to addr and cuts each after as many bytes of
// replies as cuts tells in turn; zero cuts none, nor does the end of the list.
func relay(t testing.TB, addr netip.AddrPort, cuts []int) netip.AddrPort {
	l, at := listen(t)
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
				if n < len(cuts) && cuts[n] > 0 {
					replies = io.LimitReader(out, int64(cuts[n]))
				}
				_, _ = io.Copy(in, replies)
				_ = in.Close()
				_ = out.Close()
			}()
		}
	}()
	return at
}

// plan is one call of a run: the size of its reply and when it comes.
type plan struct {
	size, delay int
}

// crossing makes all calls at the same time, three times each, and returns how many got something
// other than their own whole reply or an error.
func crossing(t testing.TB, plans []plan, cuts []int, opts ...peer.Option) (wrong, whole int) {
	content := func(i int) string { return fmt.Sprintf("%d:%s", i, strings.Repeat("x", plans[i].size)) }
	l, addr := listen(t)
	s := peer.NewServer()
	peer.Handle(s, peer.KindFetch, func(_ context.Context, q *wire.FetchObject) (*wire.Object, error) {
		var i int
		_, _ = fmt.Sscanf(q.Digest, "%d", &i)
		time.Sleep(time.Duration(plans[i].delay) * 100 * time.Microsecond)
		return &wire.Object{Data: []byte(content(i))}, nil
	})
	go func() { _ = s.Serve(l) }()
	client := peer.NewClient(opts...)
	defer func() { client.Close(); _ = l.Close(); s.Close() }()
	at := relay(t, addr, cuts)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range plans {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 3 {
				limit := patience
				if i%5 == 4 {
					limit = time.Duration(plans[i].delay) * 100 * time.Microsecond
				}
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				got, err := fetchIn(ctx, client, at, fmt.Sprint(i))
				cancel()
				mu.Lock()
				switch {
				case err == nil && got != content(i):
					wrong++
				case err == nil:
					whole++
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return wrong, whole
}

func TestEachCallGetsItsOwnReply(t *testing.T) {
	cases := []struct {
		name   string
		opts   []peer.Option
		broken bool
	}{
		{"as it is", nil, false},
		{"mutation: matched by order", []peer.Option{peer.WithOrder()}, true},
		{"mutation: cut reply passed on", []peer.Option{peer.WithCut()}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			params := gopter.DefaultTestParametersWithSeed(4)
			params.MinSuccessfulTests, params.MaxShrinkCount = 40, 0
			wrong, whole := 0, 0
			property := prop.ForAll(func(sizes, delays, cuts []int) bool {
				plans := make([]plan, min(len(sizes), len(delays)))
				for i := range plans {
					plans[i] = plan{size: sizes[i], delay: delays[i]}
				}
				w, ok := crossing(t, plans, cuts, c.opts...)
				wrong, whole = wrong+w, whole+ok
				return w == 0
			},
				gen.SliceOfN(12, gen.IntRange(0, 20_000)), gen.SliceOfN(12, gen.IntRange(0, 20)),
				gen.SliceOfN(3, gen.IntRange(0, 150_000)))
			result := property.Check(params)
			if result.Passed() == c.broken {
				t.Errorf("wrong replies: %d, whole: %d, %v", wrong, whole, result.Status)
			}
			if !c.broken && whole < 100 {
				t.Errorf("only %d whole replies, so that nothing is shown", whole)
			}
		})
	}
}
