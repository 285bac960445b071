package targethttp

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"fulmarrun/wire"
)

// Dialect is how a target is told about a request and how its answer is read. The
// zero value is not usable; NewDialect returns this project's own.
type Dialect struct {
	// IsReserved tells whether a header of a request, by its canonical name, is set by
	// Fill alone.
	IsReserved func(name string) bool
	// SetHeaders sets the headers of a request; left is negative if it has no deadline.
	SetHeaders func(h http.Header, r *wire.Request, f Fence, d Destination, left time.Duration)
	// Inspect tells what the head of an answer says.
	Inspect func(resp *http.Response, d Destination) AnswerInfo
	// AllowUnframed is true if an answer without a length is whole at the orderly end of
	// its connection.
	AllowUnframed bool
}

// AnswerInfo is what the head of an answer says besides its status.
type AnswerInfo struct {
	// ID is that of the request that is answered; empty if it does not say.
	ID string
	// RequiresID is true if an answer without an ID is none.
	RequiresID bool
	// RejectReason is why the target did not run the request; empty if it may have.
	RejectReason string
	// Shed is true if the answer is that of a target which sheds load.
	Shed bool
	// Unverified is true for an answer that can't be passed on as it is.
	Unverified bool
}

// NewDialect returns the protocol of this project's own targets.
func NewDialect() Dialect {
	return Dialect{
		IsReserved: func(name string) bool { return strings.HasPrefix(name, ownPrefix) },
		SetHeaders: fill,
		Inspect: func(resp *http.Response, d Destination) AnswerInfo {
			reading := AnswerInfo{ID: resp.Header.Get(HeaderID), Shed: resp.Header.Get(HeaderShed) != ""}
			if d.ChecksFences && resp.StatusCode == StatusFenced && resp.Header.Get(HeaderFence) != "" {
				reading.RejectReason = ReasonFence
			}
			return reading
		},
	}
}

// WithDialect is a functional option that sets how targets are spoken to.
func WithDialect(dialect Dialect) Option { return func(c *Client) { c.dialect = dialect } }

func fill(h http.Header, r *wire.Request, f Fence, _ Destination, left time.Duration) {
	if r.ID != "" {
		h[HeaderID] = []string{r.ID}
	}
	if r.Key != "" {
		h[HeaderKey] = []string{url.PathEscape(r.Key)}
	}
	if left >= 0 {
		h[HeaderDeadline] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	}
	h[HeaderDepth] = []string{strconv.Itoa(int(r.Depth))}
	f.set(h)
}
