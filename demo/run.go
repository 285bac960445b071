package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fulmarrun/caller"
	"fulmarrun/operator"
)

const (
	// visitPath is the path of the visit that the demonstration books.
	visitPath = "/agenda/visits/17"
	// stepTimeout is the time limit of each step.
	stepTimeout = 15 * time.Second
	// pollInterval is the delay between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// ErrTimeout is returned if a step of the demonstration took too long.
var ErrTimeout = errors.New("took too long")

// Run demonstrates that requests are served, deduplicated and refused, a failover
// after the loss of a node, and a change of the configuration. It prints each step
// to w.
func Run(ctx context.Context, w io.Writer, logger *log.Logger) error {
	_, _ = fmt.Fprintln(w, "Starting the platform's stand-in, 4 stub targets and a router beside each.")
	c, err := Start(ctx, WithLogger(logger))
	if err != nil {
		return err
	}
	defer c.Stop()
	s := &presentation{ctx: ctx, w: w, cluster: c}
	for _, step := range []func() error{s.showServed, s.showRepeat, s.showRefusal, s.showFailover, s.showDomainOut} {
		if err := step(); err != nil {
			return fmt.Errorf("demonstration: %w", err)
		}
	}
	return nil
}

// presentation is the state of a running demonstration.
type presentation struct {
	ctx       context.Context
	w         io.Writer
	cluster   *Cluster
	bookingID string // request ID of the first booking
}

// callerReply is the response that a caller receives.
type callerReply struct {
	status     int
	outcome    string
	reason     string
	retryAfter string
	instance   string
}

func (s *presentation) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.w, format+"\n", args...)
}

// send sends a request to the caller address of a node.
func (s *presentation) send(n *Node, method, path, id string) (callerReply, error) {
	req, err := http.NewRequestWithContext(s.ctx, method, "http://"+n.Settings.Caller.String()+path, strings.NewReader("{}"))
	if err != nil {
		return callerReply{}, fmt.Errorf("make request: %w", err)
	}
	if id != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, id)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerReply{}, fmt.Errorf("send request to %s: %w", n.Settings.Instance, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var echo struct {
		Instance string `json:"instance"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&echo)
	return callerReply{
		status: resp.StatusCode, outcome: resp.Header.Get(caller.HeaderOutcome),
		reason: resp.Header.Get(caller.HeaderReason), retryAfter: resp.Header.Get("Retry-After"),
		instance: echo.Instance,
	}, nil
}

// waitFor repeats check until it returns true, and returns the time that this
// took.
func (s *presentation) waitFor(what string, check func() bool) (time.Duration, error) {
	start := time.Now()
	for time.Since(start) < stepTimeout {
		if check() {
			return time.Since(start), nil
		}
		select {
		case <-time.After(pollInterval):
		case <-s.ctx.Done():
			return 0, fmt.Errorf("%s: %w", what, s.ctx.Err())
		}
	}
	return 0, fmt.Errorf("%s: %w", what, ErrTimeout)
}

func (s *presentation) showServed() error {
	var r callerReply
	took, err := s.waitFor("serve a request", func() bool {
		s.bookingID = uuid.Must(uuid.NewV7()).String()
		r, _ = s.send(s.cluster.Nodes[0], http.MethodPost, visitPath, s.bookingID)
		return r.outcome == "answered"
	})
	if err != nil {
		return err
	}
	s.printf("\nServed after %s: POST %s at agenda-1 -> %d, outcome %s, run by %s.",
		took.Round(time.Millisecond), visitPath, r.status, r.outcome, r.instance)
	return nil
}

func (s *presentation) showRepeat() error {
	r, err := s.send(s.cluster.Nodes[1], http.MethodPost, visitPath, s.bookingID)
	if err != nil {
		return err
	}
	runs := 0
	for _, n := range s.cluster.Nodes {
		for _, run := range n.Target.Runs().Runs {
			if run.ID == s.bookingID {
				runs += run.Started
			}
		}
	}
	s.printf("Repeated with the same Idempotency-Key at agenda-2 -> %d, outcome %s; the targets ran it %d time(s).",
		r.status, r.outcome, runs)
	return nil
}

func (s *presentation) showRefusal() error {
	r, err := s.send(s.cluster.Nodes[2], http.MethodDelete, visitPath, "")
	if err != nil {
		return err
	}
	s.printf("Refused: DELETE %s -> %d, outcome %s, reason %s.", visitPath, r.status, r.outcome, r.reason)
	return nil
}

// owner returns the node that owns the key of the visit, and another node.
func (s *presentation) owner() (owner, other *Node, err error) {
	_, err = s.waitFor("find the owner", func() bool {
		owner, other = nil, nil
		reply, err := operator.NewClient(s.cluster.Nodes[0].Settings.Operator).
			Key(s.ctx, operator.KeyRequest{Service: "agenda", Key: "17"})
		if err != nil {
			return false
		}
		for _, n := range s.cluster.Nodes {
			if n.Settings.Instance == reply.Instance {
				owner = n
			} else {
				other = n
			}
		}
		return owner != nil
	})
	return owner, other, err
}

func (s *presentation) showFailover() error {
	owner, other, err := s.owner()
	if err != nil {
		return err
	}
	owner.Kill()
	var r callerReply
	took, err := s.waitFor("serve after a loss", func() bool {
		r, _ = s.send(other, http.MethodPost, visitPath, "")
		return r.outcome == "answered"
	})
	if err != nil {
		return err
	}
	s.printf("Killed the owner %s: the key is served again after %s, by %s.",
		owner.Settings.Instance, took.Round(time.Millisecond), r.instance)
	s.cluster.removeNode(owner)
	return nil
}

// removeNode removes a killed node from the list of nodes.
func (c *Cluster) removeNode(killed *Node) {
	var remaining []*Node
	for _, n := range c.Nodes {
		if n != killed {
			remaining = append(remaining, n)
		}
	}
	c.Nodes = remaining
}

func (s *presentation) showDomainOut() error {
	out := s.cluster.Nodes[0].Settings.Domain
	text := strings.Replace(ConfigFile, `"out": []`, fmt.Sprintf(`"out": [%q]`, out), 1)
	start := time.Now()
	if _, err := s.cluster.Apply(s.ctx, []byte(text), 1); err != nil {
		return err
	}
	client := operator.NewClient(s.cluster.Nodes[0].Settings.Operator)
	var status operator.StatusReply
	if _, err := s.waitFor("put a configuration in force", func() bool {
		var err error
		status, err = client.Status(s.ctx)
		return err == nil && status.Lowest == 2 && len(status.Silent) == 0
	}); err != nil {
		return err
	}
	s.printf("Configuration 2, which takes %s out, is in force everywhere after %s.",
		out, time.Since(start).Round(time.Millisecond))
	if _, err := s.waitFor("move the slots out", func() bool {
		status, _ = client.Status(s.ctx)
		leftSlots := 0
		for _, i := range status.Instances {
			if i.Domain == out {
				leftSlots += i.Slots
			}
		}
		return len(status.Instances) > 0 && leftSlots == 0
	}); err != nil {
		return err
	}
	s.printf("No slot is owned in %s after %s.", out, time.Since(start).Round(time.Millisecond))
	for _, i := range status.Instances {
		s.printf("  %-10s %-10s %-8s config %d, %2d slots, limit %d",
			i.Instance, i.Domain, i.State, i.Config, i.Slots, i.Limit)
	}
	return nil
}
