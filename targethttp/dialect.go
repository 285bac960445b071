package targethttp

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"fulmarrun/wire"
)

// Dialect defines the headers of requests to a target and the meaning of the headers of
// its answers. The zero value is not usable; NewDialect returns this project's dialect.
type Dialect struct {
	// IsReserved reports whether only SetHeaders may set the request header with this
	// canonical name.
	IsReserved func(name string) bool
	// SetHeaders sets the headers of a request; left is the time until its deadline, or
	// negative if it has none.
	SetHeaders func(h http.Header, r *wire.Request, f Fence, d Destination, left time.Duration)
	// Inspect evaluates the head of an answer.
	Inspect func(resp *http.Response, d Destination) AnswerInfo
	// AllowUnframed is true if an answer without a declared length is complete at the
	// regular end of its connection.
	AllowUnframed bool
}

// AnswerInfo is the information in the head of an answer, apart from its status.
type AnswerInfo struct {
	// ID is the request ID that the answer states; empty if it states none.
	ID string
	// RequiresID is true if an answer without an ID is invalid.
	RequiresID bool
	// RejectReason is the reason that the target did not run the request; empty if it
	// may have run it. A rejection without an ID is invalid: it may be a copy of an earlier one.
	RejectReason string
	// Shed is true if the answer states that the target sheds load.
	Shed bool
	// Unverified is true for an answer that can't be passed on as it is: it lacks the
	// proof that it comes from the target, or has a form that the dialect does not allow.
	Unverified bool
	// Condition is what the target states about itself.
	Condition Condition
}

// NewDialect returns the dialect of this project's own targets.
func NewDialect() Dialect {
	return Dialect{
		IsReserved: func(name string) bool { return strings.HasPrefix(name, reservedPrefix) },
		SetHeaders: setRequestHeaders,
		Inspect: func(resp *http.Response, d Destination) AnswerInfo {
			info := AnswerInfo{ID: resp.Header.Get(HeaderID), Shed: resp.Header.Get(HeaderShed) != ""}
			if d.ChecksFences && resp.StatusCode == StatusFenced && resp.Header.Get(HeaderFence) != "" {
				info.RejectReason = ReasonFence
			}
			return info
		},
	}
}

// WithDialect is a functional option that sets the dialect of the target.
func WithDialect(dialect Dialect) Option { return func(c *Client) { c.dialect = dialect } }

func setRequestHeaders(h http.Header, r *wire.Request, f Fence, _ Destination, left time.Duration) {
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
	f.setHeaders(h)
}
