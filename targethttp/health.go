package targethttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
)

const (
	// HealthPath is where a target says whether it is well: 200, or any other
	// status if not.
	HealthPath = "/health"
	// LoadPath is where a target says how much it has to do.
	LoadPath = "/load"
)

// Load is what a target says of its load. It may lag or mislead.
type Load struct {
	// Running is the number of requests that it works on.
	Running int `json:"running"`
	// Capacity is the number that it bears; zero if it does not say.
	Capacity int `json:"capacity"`
}

// Status is what a target says of itself when asked.
type Status struct {
	// Healthy is false only if the target says that it is not well.
	Healthy bool
	Load    Load
}

// Status asks the target how it is. A target that has no such endpoints is taken
// to be well, and its load to be unknown.
func (c *Client) Status(ctx context.Context) (Status, error) {
	status, _, err := c.ask(ctx, HealthPath)
	if err != nil {
		return Status{}, fmt.Errorf("ask for health: %w", err)
	}
	out := Status{Healthy: status < http.StatusInternalServerError}
	status, data, err := c.ask(ctx, LoadPath)
	if err != nil {
		return Status{}, fmt.Errorf("ask for load: %w", err)
	}
	if status == http.StatusOK && json.Unmarshal(data, &out.Load) != nil {
		out.Load = Load{}
	}
	return out, nil
}

func (c *Client) ask(ctx context.Context, path string) (status int, body []byte, err error) {
	d := c.destination.Load()
	if d == nil {
		return 0, nil, errNoTarget
	}
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: d.Address.String(), Path: path}, Header: http.Header{},
	}
	resp, err := c.send(ctx, req, &attempt{})
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = c.readWhole(ctx, resp, http.MethodGet, replyLimit)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, body, nil
}
