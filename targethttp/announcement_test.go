package targethttp_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"fulmarrun/targethttp"
)

const validAnnouncement = `{"address":"127.0.0.1:8080","checks":true,"state":"ready","stamp":12,"other":1}`

// FuzzAnnouncement checks that accepted announcements are valid and survive a round
// trip, and that everything else is rejected with ErrAnnouncement.
func FuzzAnnouncement(f *testing.F) {
	for _, seed := range []string{
		validAnnouncement,
		`{"address":"[::1]:1","state":"cold","stamp":0}`,
		`{"address":"127.0.0.1:8080","state":"leaving","stamp":9223372036854775807}`,
		`{"address":"127.0.0.1:0","state":"ready"}`,
		`{"address":"0.0.0.0:80","state":"ready"}`,
		`{"address":"localhost:80","state":"ready"}`,
		`{"address":"127.0.0.1:80","state":"asleep"}`,
		`{"address":"127.0.0.1:80","state":"ready","stamp":-1}`,
		validAnnouncement + "{}", validAnnouncement[:20], "", "null", "[]", "\xff",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := targethttp.DecodeAnnouncement(data)
		if err != nil {
			if !errors.Is(err, targethttp.ErrAnnouncement) {
				t.Fatalf("error %v", err)
			}
			return
		}
		if !a.Address.IsValid() || a.Address.Port() == 0 || a.Stamp < 0 || a.State == "" {
			t.Fatalf("accepted %+v", a)
		}
		again, err := json.Marshal(a)
		if err != nil {
			t.Fatal(err)
		}
		if b, err := targethttp.DecodeAnnouncement(again); err != nil || a != b {
			t.Fatalf("%+v became %+v, %v", a, b, err)
		}
	})
}

func TestServer(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		status                   int
	}{
		{"announced", "POST", "/announce", validAnnouncement, http.StatusNoContent},
		{"other method", "GET", "/announce", "", http.StatusMethodNotAllowed},
		{"other path", "POST", "/", validAnnouncement, http.StatusNotFound},
		{"malformed", "POST", "/announce", "{", http.StatusBadRequest},
		{"too long", "POST", "/announce", strings.Repeat(" ", 1<<16) + validAnnouncement, http.StatusBadRequest},
	}
	for _, tc := range cases {
		var got []targethttp.Announcement
		s := targethttp.NewServer()
		s.OnAnnounce = func(a targethttp.Announcement) { got = append(got, a) }
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body)))
		if w.Code != tc.status || (len(got) == 1) != (tc.status == http.StatusNoContent) {
			t.Errorf("%s: status %d, %d announcements", tc.name, w.Code, len(got))
		}
		want := targethttp.Announcement{Address: netip.MustParseAddrPort("127.0.0.1:8080"), ChecksFences: true, State: targethttp.StateReady, Stamp: 12}
		if len(got) == 1 && got[0] != want {
			t.Errorf("%s: got %+v", tc.name, got[0])
		}
	}
}
