package targethttp

import (
	"net/http"
	"strings"

	"fulmarrun/wire"
)

const (
	// HeaderID carries the request ID. Its map key is deliberately not canonical:
	// net/http replays a request whose header has the canonical key.
	HeaderID = "idempotency-key"
	// HeaderKey carries the path-escaped key of a keyed request.
	HeaderKey = "Fulmar-Key"
	// HeaderDeadline carries the remaining time of the request in milliseconds.
	HeaderDeadline = "Fulmar-Deadline"
	// HeaderSlot carries the slot of the key.
	HeaderSlot = "Fulmar-Slot"
	// HeaderEpoch carries the epoch at which the daemon owns the slot or key.
	HeaderEpoch = "Fulmar-Epoch"
	// HeaderGeneration carries the generation of the daemon.
	HeaderGeneration = "Fulmar-Generation"
	// HeaderDepth carries the nesting depth: the number of calls that led to this one.
	HeaderDepth = "Fulmar-Depth"
	// HeaderFence is set in the answer of a target that rejects the request's fence.
	HeaderFence = "Fulmar-Fence"
	// HeaderShed is set in the answer of a target that sheds load.
	HeaderShed = "Fulmar-Shed"

	// StatusFenced is the status of an answer that rejects a fence.
	StatusFenced = http.StatusPreconditionFailed

	reservedPrefix = "Fulmar-"
)

// hopByHop reports whether a header applies to one connection only or is set by this
// package. The name must be canonical.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// droppedFromRequest reports whether a request header is dropped in addition to the
// hop-by-hop ones: the body is complete, so its length is known and the target need not
// ask for it (Expect).
func droppedFromRequest(name string) bool {
	switch name {
	case "Idempotency-Key", "X-Idempotency-Key", "Content-Length", "Expect", "Host":
		return true
	}
	return false
}

// requestHeader returns the headers that are passed on to the target.
func requestHeader(headers []wire.Header, isReserved func(name string) bool) http.Header {
	out := make(http.Header, len(headers)+8)
	for _, h := range headers {
		name := http.CanonicalHeaderKey(h.Name)
		if hopByHop(name) || droppedFromRequest(name) || isReserved(name) || listedInConnection(headers, name) {
			continue
		}
		out[name] = append(out[name], h.Value)
	}
	return out
}

// listedInConnection reports whether a Connection header lists the header name, which
// makes it a hop-by-hop header.
func listedInConnection(headers []wire.Header, name string) bool {
	for _, h := range headers {
		if strings.EqualFold(h.Name, "Connection") && hasToken(h.Value, name) {
			return true
		}
	}
	return false
}

func hasToken(list, name string) bool {
	for token := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(token), name) {
			return true
		}
	}
	return false
}

// responseHeaders returns the headers that are passed on to the caller.
func responseHeaders(header http.Header) []wire.Header {
	out := make([]wire.Header, 0, len(header))
	connection := strings.Join(header["Connection"], ",")
	for name, values := range header {
		if hopByHop(name) || connection != "" && hasToken(connection, name) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}
