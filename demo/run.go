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
	// visit is the key that the demonstration books.
	visit = "/agenda/visits/17"
	// patience bounds each step.
	patience = 15 * time.Second
	pause    = 20 * time.Millisecond
)

// ErrTimeout is returned if a step of the demonstration took too long.
var ErrTimeout = errors.New("took too long")

// Run shows a request served, refused and failed over, and a change of
// configuration in force, and tells each step on w.
func Run(ctx context.Context, w io.Writer, logger *log.Logger) error {
	_, _ = fmt.Fprintln(w, "Starting the platform's stand-in, 4 stub targets and a router beside each.")
	c, err := Start(ctx, WithLogger(logger))
	if err != nil {
		return err
	}
	defer c.Stop()
	s := &show{ctx: ctx, w: w, cluster: c}
	for _, step := range []func() error{s.serve, s.repeat, s.refuse, s.kill, s.takeOut} {
		if err := step(); err != nil {
			return fmt.Errorf("demonstration: %w", err)
		}
	}
	return nil
}

// show is a demonstration under way.
type show struct {
	ctx     context.Context
	w       io.Writer
	cluster *Cluster
	booking string
}

// reply is what a caller sees.
type reply struct {
	status  int
	outcome string
	reason  string
	retry   string
	server  string
}

func (s *show) tell(format string, args ...any) {
	_, _ = fmt.Fprintf(s.w, format+"\n", args...)
}

// ask sends a request to one node as a caller would.
func (s *show) ask(n *Node, method, path, id string) (reply, error) {
	req, err := http.NewRequestWithContext(s.ctx, method, "http://"+n.Settings.Caller.String()+path, strings.NewReader("{}"))
	if err != nil {
		return reply{}, fmt.Errorf("make request: %w", err)
	}
	if id != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, id)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, fmt.Errorf("ask %s: %w", n.Settings.Instance, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var echo struct {
		Instance string `json:"instance"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&echo)
	return reply{
		status: resp.StatusCode, outcome: resp.Header.Get(caller.HeaderOutcome),
		reason: resp.Header.Get(caller.HeaderReason), retry: resp.Header.Get("Retry-After"),
		server: echo.Instance,
	}, nil
}

// until repeats check and returns how long it took to hold.
func (s *show) until(what string, check func() bool) (time.Duration, error) {
	start := time.Now()
	for time.Since(start) < patience {
		if check() {
			return time.Since(start), nil
		}
		select {
		case <-time.After(pause):
		case <-s.ctx.Done():
			return 0, fmt.Errorf("%s: %w", what, s.ctx.Err())
		}
	}
	return 0, fmt.Errorf("%s: %w", what, ErrTimeout)
}

func (s *show) serve() error {
	var r reply
	took, err := s.until("serve a request", func() bool {
		s.booking = uuid.Must(uuid.NewV7()).String()
		r, _ = s.ask(s.cluster.Nodes[0], http.MethodPost, visit, s.booking)
		return r.outcome == "answered"
	})
	if err != nil {
		return err
	}
	s.tell("\nServed after %s: POST %s at agenda-1 -> %d, outcome %s, run by %s.",
		took.Round(time.Millisecond), visit, r.status, r.outcome, r.server)
	return nil
}

func (s *show) repeat() error {
	r, err := s.ask(s.cluster.Nodes[1], http.MethodPost, visit, s.booking)
	if err != nil {
		return err
	}
	runs := 0
	for _, n := range s.cluster.Nodes {
		for _, run := range n.Target.Runs().Runs {
			if run.ID == s.booking {
				runs += run.Started
			}
		}
	}
	s.tell("Repeated with the same Idempotency-Key at agenda-2 -> %d, outcome %s; the targets ran it %d time(s).",
		r.status, r.outcome, runs)
	return nil
}

func (s *show) refuse() error {
	r, err := s.ask(s.cluster.Nodes[2], http.MethodDelete, visit, "")
	if err != nil {
		return err
	}
	s.tell("Refused: DELETE %s -> %d, outcome %s, reason %s.", visit, r.status, r.outcome, r.reason)
	return nil
}

// owner returns the node that owns the visit, and another one.
func (s *show) owner() (owner, other *Node, err error) {
	_, err = s.until("find the owner", func() bool {
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

func (s *show) kill() error {
	owner, other, err := s.owner()
	if err != nil {
		return err
	}
	owner.Kill()
	var r reply
	took, err := s.until("serve after a loss", func() bool {
		r, _ = s.ask(other, http.MethodPost, visit, "")
		return r.outcome == "answered"
	})
	if err != nil {
		return err
	}
	s.tell("Killed the owner %s: the key is served again after %s, by %s.",
		owner.Settings.Instance, took.Round(time.Millisecond), r.server)
	s.cluster.forget(owner)
	return nil
}

// forget takes a killed node off the list.
func (c *Cluster) forget(gone *Node) {
	var rest []*Node
	for _, n := range c.Nodes {
		if n != gone {
			rest = append(rest, n)
		}
	}
	c.Nodes = rest
}

func (s *show) takeOut() error {
	out := s.cluster.Nodes[0].Settings.Domain
	text := strings.Replace(ConfigFile, `"out": []`, fmt.Sprintf(`"out": [%q]`, out), 1)
	start := time.Now()
	if _, err := s.cluster.Apply(s.ctx, []byte(text), 1); err != nil {
		return err
	}
	client := operator.NewClient(s.cluster.Nodes[0].Settings.Operator)
	var status operator.StatusReply
	if _, err := s.until("put a configuration in force", func() bool {
		var err error
		status, err = client.Status(s.ctx)
		return err == nil && status.Lowest == 2 && len(status.Silent) == 0
	}); err != nil {
		return err
	}
	s.tell("Configuration 2, which takes %s out, is in force everywhere after %s.",
		out, time.Since(start).Round(time.Millisecond))
	if _, err := s.until("move the slots out", func() bool {
		status, _ = client.Status(s.ctx)
		left := 0
		for _, i := range status.Instances {
			if i.Domain == out {
				left += i.Slots
			}
		}
		return len(status.Instances) > 0 && left == 0
	}); err != nil {
		return err
	}
	s.tell("No slot is owned in %s after %s.", out, time.Since(start).Round(time.Millisecond))
	for _, i := range status.Instances {
		s.tell("  %-10s %-10s %-8s config %d, %2d slots, limit %d",
			i.Instance, i.Domain, i.State, i.Config, i.Slots, i.Limit)
	}
	return nil
}
