package targethttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarrun/outcome"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

// The ways in which a faulty server treats the next request.
const (
	treatWhole = iota
	treatWholeAndClose
	treatCut
	treatClose
	treatHalfAndReset
	treatAcceptAndReset
	treatTwice
	treatments
)

// faulty is a server that treats each request as the next of a list says, and
// counts what it received of each ID.
type faulty struct {
	treatments []int
	next       atomic.Int32
	mu         sync.Mutex
	// touched counts the requests of which a byte was read, whole those read to
	// their end.
	touched, whole map[string]int
}

func (f *faulty) treatment() int {
	i := int(f.next.Add(1)) - 1
	if i >= len(f.treatments) {
		return treatWhole
	}
	return f.treatments[i]
}

func (f *faulty) count(m map[string]int, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m[id]++
}

func (f *faulty) counts(id string) (touched, whole int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.touched[id], f.whole[id]
}

// idIn returns the request ID in the bytes that have arrived.
func idIn(br *bufio.Reader) string {
	data, _ := br.Peek(br.Buffered())
	_, rest, _ := strings.Cut(string(data), targethttp.HeaderID+": ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func (f *faulty) serve(_ int, c net.Conn) {
	br := bufio.NewReader(c)
	treat := f.treatment()
	for treat != treatAcceptAndReset {
		if _, err := br.Peek(1); err != nil {
			return
		}
		f.count(f.touched, idIn(br))
		if treat == treatHalfAndReset {
			break
		}
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		f.count(f.whole, r.Header.Get("Idempotency-Key"))
		if !reply(c, r, treat) {
			return
		}
		treat = f.treatment()
	}
	reset(c)
}

// reply answers with the request's ID and reports whether to go on.
func reply(c net.Conn, r *http.Request, treat int) bool {
	id := r.Header.Get("Idempotency-Key")
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	switch treat {
	case treatClose:
		return false
	case treatCut:
		text = text[:len(text)-10]
	case treatTwice:
		text += text
	}
	_, err := io.WriteString(c, text)
	return err == nil && (treat == treatWhole || treat == treatTwice)
}

// exchange sends requests, each tried up to three times under its ID through a
// ledger, and says what went wrong.
func exchange(t *testing.T, list []int, method string, body []byte, opts ...targethttp.Option) string {
	t.Helper()
	server := &faulty{treatments: list, touched: make(map[string]int), whole: make(map[string]int)}
	client := targethttp.NewClient(opts...)
	defer client.Close()
	client.SetDestination(targethttp.Destination{Address: scripted(t, server.serve)})
	ledger := outcome.NewLedger()
	unit := outcome.Unit{Service: "agenda"}
	ledger.Open(unit, time.Time{})
	for range 4 {
		id := uuid.Must(uuid.NewV7()).String()
		for range 3 {
			d := ledger.Begin(time.Now(), unit, id, false)
			resp := d.Response
			if d.Action == outcome.Run {
				r := &wire.Request{ID: id, Method: method, Path: "/", Body: body}
				resp, _ = client.Do(t.Context(), r, targethttp.Fence{})
				ledger.Finish(unit, id, resp)
			}
			if fault := judge(server, id, resp); fault != "" {
				return fault
			}
		}
	}
	return ""
}

func judge(server *faulty, id string, resp *wire.Response) string {
	touched, whole := server.counts(id)
	switch {
	case whole > 1:
		return fmt.Sprintf("ran %d times", whole)
	case resp.Outcome == wire.OutcomeNotRun && touched > 0:
		return "told not run, but a byte was read: " + resp.Reason
	case resp.Outcome == wire.OutcomeAnswered && string(resp.Body) != id:
		return fmt.Sprintf("answered %q", resp.Body)
	}
	return ""
}

func exchangeProperty(t *testing.T, opts ...targethttp.Option) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 150
	parameters.MaxShrinkCount = 0
	property := prop.ForAll(func(list []int, method string, body string) string {
		return exchange(t, list, method, []byte(body), opts...)
	}, gen.SliceOfN(12, gen.IntRange(0, treatments-1)), gen.OneConstOf("GET", "POST", "DELETE"), gen.OneConstOf("", "visit"))
	return property.Check(parameters)
}

// TestSocketsAtMostOnce checks on real connections that a server which cuts,
// resets and closes as it likes receives no request twice whole, that none was
// told not run of which it read a byte, and that each answer is whole.
func TestSocketsAtMostOnce(t *testing.T) {
	if result := exchangeProperty(t); !result.Passed() {
		t.Fatalf("%v %v %v", result.Status, result.Labels, result.Args)
	}
}

func TestSocketMutations(t *testing.T) {
	mutations := []struct {
		name   string
		option targethttp.Option
	}{
		{"cut answer as whole", targethttp.WithoutCompletenessCheck()},
		{"not run after bytes were written", targethttp.WithoutSeal()},
		{"replay by net/http", targethttp.WithReplay()},
	}
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			result := exchangeProperty(t, m.option)
			if result.Passed() {
				t.Fatal("not caught")
			}
			t.Logf("caught after %d runs: %v %v", result.Succeeded, result.Labels, result.Args)
		})
	}
}
