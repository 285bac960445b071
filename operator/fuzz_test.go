package operator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"reflect"
	"strings"
	"testing"

	"fulmarrun/operator"
)

// FuzzDecode checks that a valid request is unchanged after it is encoded and decoded
// again, and that its fields are within their bounds.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"text":"e30=","base":6,"author":"ana","change":"0190a5d2-0000-7000-8000-000000000000"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		req, err := operator.Decode[operator.ApplyRequest](data)
		if err != nil || req.Validate() != nil {
			return
		}
		if strings.ContainsAny(req.Change, "/.%\x00 ") || len(req.Text) == 0 {
			t.Fatalf("invalid request accepted: %+v", req)
		}
		encoded, err := json.Marshal(req)
		if err != nil {
			t.Fatal(err)
		}
		again, err := operator.Decode[operator.ApplyRequest](encoded)
		if err != nil || !reflect.DeepEqual(req, again) {
			t.Fatalf("%+v decoded as %+v, error %v", req, again, err)
		}
	})
}

// FuzzServer checks that a server whose calls all succeed responds to each request
// with success or with a 4xx status and a reason.
func FuzzServer(f *testing.F) {
	f.Add("POST", "/apply", "", []byte(`{"text":"e30=","author":"a","change":"12345678"}`))
	f.Add("GET", "/audit", "since=2026-12-04T00:00:00Z&limit=3", []byte{})
	f.Add("GET", "/key", "service=agenda&key=k", []byte{})
	server := fullServer()
	f.Fuzz(func(t *testing.T, method, path, query string, body []byte) {
		r := &http.Request{
			Method: method,
			URL:    &url.URL{Path: path, RawQuery: query},
			Body:   http.NoBody,
			Header: http.Header{},
		}
		if len(body) > 0 {
			r.Body = httptest.NewRequest(http.MethodPost, "/", strings.NewReader(string(body))).Body
		}
		w := httptest.NewRecorder()
		server.ServeHTTP(w, r)
		if w.Code >= http.StatusInternalServerError {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
		if w.Code >= http.StatusBadRequest && w.Body.Len() == 0 {
			t.Fatalf("status %d without a reason", w.Code)
		}
	})
}
