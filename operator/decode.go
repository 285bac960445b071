package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"
)

// Decode parses the JSON form of a request or reply. It returns an error for
// unknown fields and for trailing data after the value.
func Decode[T any](data []byte) (T, error) {
	var v, zero T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&v); err != nil {
		return zero, fmt.Errorf("decode JSON: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return zero, fmt.Errorf("decode JSON: trailing data after the value")
	}
	return v, nil
}

// query encodes the request as a URL query.
func (r AuditRequest) query() url.Values {
	q := url.Values{"limit": {strconv.Itoa(r.Limit)}}
	if !r.Since.IsZero() {
		q.Set("since", r.Since.UTC().Format(time.RFC3339Nano))
	}
	return q
}

// parseAudit is the inverse of AuditRequest.query. Without a limit in the query, the
// limit is defaultEntries.
func parseAudit(q url.Values) (AuditRequest, error) {
	r := AuditRequest{Limit: defaultEntries}
	if s := q.Get("since"); s != "" {
		at, err := time.Parse(time.RFC3339Nano, s)
		if err != nil {
			return r, fmt.Errorf("since: %w", err)
		}
		r.Since = at.UTC()
	}
	if s := q.Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil {
			return r, fmt.Errorf("limit: %w", err)
		}
		r.Limit = n
	}
	return r, nil
}

// query encodes the request as a URL query.
func (r KeyRequest) query() url.Values {
	return url.Values{"service": {r.Service}, "key": {r.Key}}
}

// parseKey is the inverse of KeyRequest.query.
func parseKey(q url.Values) (KeyRequest, error) {
	return KeyRequest{Service: q.Get("service"), Key: q.Get("key")}, nil
}

// parseEmpty ignores the query of the URL.
func parseEmpty(url.Values) (empty, error) {
	return empty{}, nil
}
