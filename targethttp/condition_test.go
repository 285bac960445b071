package targethttp_test

import (
	"net/http"
	"testing"
	"time"

	"fulmarrun/targethttp"
)

// TestOvertakenAnswers checks that an answer that was overtaken by a later one does not end
// what the later one states, and that what another daemon passes on does not either.
func TestOvertakenAnswers(t *testing.T) {
	start := time.Unix(100, 0)
	type answer struct {
		sent, arrived time.Duration
		condition     targethttp.Condition
	}
	limited := func(rate float64) targethttp.Condition {
		return targethttp.Condition{RateLimited: true, RateLimit: rate}
	}
	none, leaving := targethttp.Condition{}, targethttp.Condition{Leaving: true}
	for _, tc := range []struct {
		name    string
		answers []answer
		// adopted is passed on by another daemon after the answers.
		adopted targethttp.Condition
		want    targethttp.Condition
	}{
		{"nothing stated", []answer{{0, 1, none}}, none, none},
		{"limit", []answer{{0, 1, limited(5)}}, none, limited(5)},
		{"limit changes", []answer{{0, 3, limited(5)}, {1, 4, limited(9)}}, none, limited(9)},
		{"limit of zero", []answer{{0, 3, limited(0)}}, none, limited(0)},
		{"answer sent before the limit", []answer{{0, 3, limited(5)}, {2, 4, none}}, none, limited(5)},
		{"limit ends", []answer{{0, 3, limited(5)}, {3, 4, none}}, none, none},
		{"leaving", []answer{{0, 1, leaving}, {2, 3, none}}, none, leaving},
		{"limit of another daemon", nil, limited(5), limited(5)},
		{"leaving, by another daemon", []answer{{0, 1, limited(5)}}, leaving, targethttp.Condition{RateLimited: true, RateLimit: 5, Leaving: true}},
	} {
		var s targethttp.Statement
		for _, a := range tc.answers {
			s = s.Update(a.condition, start.Add(a.sent), start.Add(a.arrived))
		}
		s = s.Adopt(tc.adopted, start.Add(10))
		if s.Condition != tc.want {
			t.Errorf("%s: %+v, want %+v", tc.name, s.Condition, tc.want)
		}
	}
}

// TestPartialAnswerEndsNoLimit checks that only a whole answer to the request ends what
// earlier answers state: an answer that is cut off, rejects the request or can't be verified
// may lack the statement for that reason.
func TestPartialAnswerEndsNoLimit(t *testing.T) {
	const limited = "HTTP/1.1 200 OK\r\nRate: 5\r\nContent-Length: 2\r\n\r\nok"
	for _, tc := range []struct {
		name, next string
		want       bool
	}{
		{"whole", okAnswer, false},
		{"cut off", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", true},
		{"of another request", "HTTP/1.1 200 OK\r\nIdempotency-Key: other\r\nContent-Length: 2\r\n\r\nok", true},
		{"rejected", "HTTP/1.1 503 Service Unavailable\r\nRejected: 1\r\nContent-Length: 0\r\n\r\n", true},
		{"unverified", "HTTP/1.1 200 OK\r\nUnverified: 1\r\nContent-Length: 2\r\n\r\nok", true},
	} {
		dialect := targethttp.NewDialect()
		dialect.Inspect = func(resp *http.Response, _ targethttp.Destination) targethttp.AnswerInfo {
			info := targethttp.AnswerInfo{
				ID:         resp.Header.Get(targethttp.HeaderID),
				Unverified: resp.Header.Get("Unverified") != "",
				Condition:  targethttp.Condition{RateLimited: resp.Header.Get("Rate") != "", RateLimit: 5},
			}
			if resp.Header.Get("Rejected") != "" {
				info.RejectReason = targethttp.ReasonShed
			}
			return info
		}
		var statement targethttp.Statement
		client := targethttp.NewClient(targethttp.WithDialect(dialect),
			targethttp.WithConditionObserver(func(_ targethttp.Destination, c targethttp.Condition, sentAt time.Time) {
				statement = statement.Update(c, sentAt, time.Now())
			}))
		for _, answer := range []string{limited, tc.next} {
			client.SetDestination(targethttp.Destination{Address: listen(t, answerWith(answer))})
			_, _ = client.Do(t.Context(), newRequest(), targethttp.Fence{})
		}
		client.Close()
		if statement.RateLimited != tc.want {
			t.Errorf("%s: limited %v, want %v", tc.name, statement.RateLimited, tc.want)
		}
	}
}
