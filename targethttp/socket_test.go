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

// The ways in which a faultyServer treats a request.
const (
	// treatWhole sends the complete answer.
	treatWhole = iota
	treatWholeAndClose
	// treatCut sends an incomplete answer.
	treatCut
	// treatClose closes the connection without an answer.
	treatClose
	// treatHalfAndReset resets the connection after the first bytes of the request.
	treatHalfAndReset
	// treatAcceptAndReset resets the connection before it reads anything.
	treatAcceptAndReset
	// treatTwice sends the answer twice.
	treatTwice
	treatmentCount
)

// faultyServer is a server that treats its requests as listed in treatments, in order,
// and counts the requests that it reads by ID.
type faultyServer struct {
	treatments []int
	next       atomic.Int32
	mu         sync.Mutex
	// started counts the requests of which a byte was read, complete those read to
	// their end.
	started, complete map[string]int
}

func (f *faultyServer) nextTreatment() int {
	i := int(f.next.Add(1)) - 1
	if i >= len(f.treatments) {
		return treatWhole
	}
	return f.treatments[i]
}

func (f *faultyServer) count(m map[string]int, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m[id]++
}

func (f *faultyServer) counts(id string) (started, complete int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started[id], f.complete[id]
}

// bufferedID returns the request ID in the bytes that are buffered so far.
func bufferedID(br *bufio.Reader) string {
	data, _ := br.Peek(br.Buffered())
	_, rest, _ := strings.Cut(string(data), targethttp.HeaderID+": ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func (f *faultyServer) serve(_ int, c net.Conn) {
	br := bufio.NewReader(c)
	treat := f.nextTreatment()
	for treat != treatAcceptAndReset {
		if _, err := br.Peek(1); err != nil {
			return
		}
		f.count(f.started, bufferedID(br))
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
		f.count(f.complete, r.Header.Get("Idempotency-Key"))
		if !reply(c, r, treat) {
			return
		}
		treat = f.nextTreatment()
	}
	reset(c)
}

// reply answers with the request's ID as the body and reports whether the connection
// stays open.
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

// runRequests sends four requests to a faultyServer, each of them three times with the
// same ID through an outcome ledger. It describes the first violation, if there is one.
func runRequests(t *testing.T, list []int, method string, body []byte, opts ...targethttp.Option) string {
	t.Helper()
	server := &faultyServer{treatments: list, started: make(map[string]int), complete: make(map[string]int)}
	client := targethttp.NewClient(opts...)
	defer client.Close()
	client.SetDestination(targethttp.Destination{Address: listen(t, server.serve)})
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
			if fault := check(server, id, resp); fault != "" {
				return fault
			}
		}
	}
	return ""
}

// check describes how resp contradicts what the server has counted for id, if it does.
func check(server *faultyServer, id string, resp *wire.Response) string {
	started, complete := server.counts(id)
	switch {
	case complete > 1:
		return fmt.Sprintf("ran %d times", complete)
	case resp.Outcome == wire.OutcomeNotRun && started > 0:
		return "reported as not run, but the server read a byte of it: " + resp.Reason
	case resp.Outcome == wire.OutcomeAnswered && string(resp.Body) != id:
		return fmt.Sprintf("answered %q", resp.Body)
	}
	return ""
}

func checkProperty(t *testing.T, opts ...targethttp.Option) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 150
	parameters.MaxShrinkCount = 0
	property := prop.ForAll(func(list []int, method string, body string) string {
		return runRequests(t, list, method, []byte(body), opts...)
	}, gen.SliceOfN(12, gen.IntRange(0, treatmentCount-1)), gen.OneConstOf("GET", "POST", "DELETE"), gen.OneConstOf("", "visit"))
	return property.Check(parameters)
}

// TestSocketsAtMostOnce checks over real connections to a server that cuts answers and
// resets and closes connections: the server reads no request completely more than once,
// no request of which it read a byte is reported as not run, and each answer is complete.
func TestSocketsAtMostOnce(t *testing.T) {
	if result := checkProperty(t); !result.Passed() {
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
			result := checkProperty(t, m.option)
			if result.Passed() {
				t.Fatal("the property does not detect the mutation")
			}
			t.Logf("detected after %d runs: %v %v", result.Succeeded, result.Labels, result.Args)
		})
	}
}
