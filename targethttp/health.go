package targethttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
)

const (
	// HealthPath is the path at which a target reports its health: status 200 if it is
	// healthy, and 500 or above if not. Any other status counts as healthy.
	HealthPath = "/health"
	// LoadPath is the path at which a target reports its load.
	LoadPath = "/load"
)

// Load is the load that a target reports. It may be outdated or wrong.
type Load struct {
	// Running is the number of requests that the target is serving.
	Running int `json:"running"`
	// Capacity is the number of requests that the target can serve at once; zero if it
	// does not report one.
	Capacity int `json:"capacity"`
}

// Status is the health and load that a target reports.
type Status struct {
	// Healthy is false only if the target reports that it is not healthy.
	Healthy bool
	Load    Load
}

// Status requests the health and load of the target. If the target does not have these
// endpoints, it is considered healthy and its load unknown.
func (c *Client) Status(ctx context.Context) (Status, error) {
	status, _, err := c.fetch(ctx, HealthPath)
	if err != nil {
		return Status{}, fmt.Errorf("get health of target: %w", err)
	}
	out := Status{Healthy: status < http.StatusInternalServerError}
	status, data, err := c.fetch(ctx, LoadPath)
	if err != nil {
		return Status{}, fmt.Errorf("get load of target: %w", err)
	}
	if status == http.StatusOK && json.Unmarshal(data, &out.Load) != nil {
		out.Load = Load{}
	}
	return out, nil
}

func (c *Client) fetch(ctx context.Context, path string) (status int, body []byte, err error) {
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
	body, err = c.readWhole(ctx, resp, http.MethodGet, maxReplyBytes)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, body, nil
}
