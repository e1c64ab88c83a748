package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startServer starts a server and returns its URL.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// writeToken writes one token of a stream.
func writeToken(w http.ResponseWriter, token string) {
	fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", token)
	_ = http.NewResponseController(w).Flush()
}

func TestResultsAreToldApart(t *testing.T) {
	whole := func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"choices":[{"message":{"content":"right"}}]}`)
	}
	stream := func(end string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			writeToken(w, "ri")
			writeToken(w, "ght")
			fmt.Fprint(w, end)
		}
	}
	cases := []struct {
		name    string
		stream  bool
		handler http.HandlerFunc
		want    Part
	}{
		{name: "whole served", handler: whole, want: Part{Served: 3}},
		{name: "stream served", stream: true, handler: stream("data: [DONE]\n\n"), want: Part{Served: 3}},
		{name: "stream without the final event", stream: true, handler: stream(""), want: Part{Truncated: 3}},
		{
			name: "connection aborted within a stream", stream: true, want: Part{Truncated: 3},
			handler: func(w http.ResponseWriter, _ *http.Request) {
				writeToken(w, "ri")
				panic(http.ErrAbortHandler)
			},
		},
		{
			name: "connection aborted after the final event", stream: true, want: Part{Truncated: 3},
			handler: func(w http.ResponseWriter, _ *http.Request) {
				writeToken(w, "right")
				fmt.Fprint(w, "data: [DONE]\n\n")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			},
		},
		{
			name: "truncated response", want: Part{Truncated: 3},
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				fmt.Fprint(w, `{"choices":`)
			},
		},
		{
			name: "response to another request", want: Part{Wrong: 3},
			handler: func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, `{"choices":[{"message":{"content":"other"}}]}`)
			},
		},
		{
			name: "no response", want: Part{Broken: 3},
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		},
		{
			name: "a redirect is not followed", want: Part{Refused: 3, Refusals: []RefusalCount{{Status: 307, Count: 3}}},
			handler: func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != chatPath {
					t.Errorf("redirected request sent to %s", r.URL)
				}
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(http.StatusTemporaryRedirect)
			},
		},
		{
			name: "refused", want: Part{
				Refused: 3, WithRetryAfter: 3,
				Refusals: []RefusalCount{{Status: 503, Code: "no_capacity", Outcome: "not_run", Count: 3}},
			},
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "1")
				w.Header().Set("X-Outcome", "not_run")
				w.WriteHeader(http.StatusServiceUnavailable)
				fmt.Fprint(w, `{"error":{"code":"no_capacity"}}`)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report, err := Run(t.Context(), Options{
				URL: startServer(t, c.handler), Burst: 3,
				Targets:  []Target{{Model: "m", Stream: c.stream}},
				Expected: func(Call) string { return "right" },
			})
			if err != nil {
				t.Fatal(err)
			}
			got := report.Total
			if got.Sent != 3 || got.Served != c.want.Served || got.Truncated != c.want.Truncated ||
				got.Wrong != c.want.Wrong || got.Broken != c.want.Broken || got.Refused != c.want.Refused ||
				got.WithRetryAfter != c.want.WithRetryAfter || fmt.Sprint(got.Refusals) != fmt.Sprint(c.want.Refusals) {
				t.Fatalf("got %+v, want %+v", got, c.want)
			}
			if m := got.FirstMismatch; (m != nil) != (c.want.Wrong > 0) || m != nil && (m.Want != "right" || m.Got != "other") {
				t.Fatalf("first mismatch %+v", m)
			}
		})
	}
}

// Calls that cannot connect to a stopped entry were certainly not sent and must not be counted as broken requests.
func TestNoConnectionIsNotACutRequest(t *testing.T) {
	stopped := httptest.NewServer(nil)
	stopped.Close()
	report, err := Run(t.Context(), Options{URL: stopped.URL, Burst: 3, Targets: []Target{{Path: "/"}}})
	if err != nil || report.Total.Unreachable != 3 || report.Total.Sent != 0 || report.Total.Broken != 0 {
		t.Fatalf("got %+v, %v; want 3 unreachable", report.Total, err)
	}
}

// A server stalls on its first response while further requests become due. A closed-loop generator would report a single
// slow request; an open-loop one must include the waiting time of all requests due during the stall.
func TestStallIsChargedToAllThatWaited(t *testing.T) {
	const stall = 400 * time.Millisecond
	var stalled atomic.Bool
	url := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if stalled.CompareAndSwap(false, true) {
			time.Sleep(stall)
		}
		fmt.Fprint(w, "ok")
	})
	report, err := Run(t.Context(), Options{
		URL: url, Rate: 100, Duration: stall, Arrivals: ArrivalsConstant, Concurrency: 1,
		Targets: []Target{{Path: "/"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Total.Served != report.Planned || report.Planned < 30 {
		t.Fatalf("served %d of %d planned, want all of at least 30", report.Total.Served, report.Planned)
	}
	if report.Total.FirstByte.P50 < 100 {
		t.Fatalf("p50 to the first byte is %.1f ms, want at least 100 ms: the stall is missing from the latencies", report.Total.FirstByte.P50)
	}
}

// A stream must start before its deadline and may continue after it; any other response, including a refusal, must end
// before it.
func TestLate(t *testing.T) {
	whole := &Target{Deadline: 100 * time.Millisecond}
	stream := &Target{Deadline: 100 * time.Millisecond, Stream: true}
	cases := []struct {
		name string
		outcome
		wantLate int
	}{
		{"whole in time", outcome{target: whole, result: ResultServed, whole: 100 * time.Millisecond}, 0},
		{"whole late", outcome{target: whole, result: ResultServed, whole: 101 * time.Millisecond}, 1},
		{"refused late", outcome{target: stream, result: ResultRefused, whole: 101 * time.Millisecond}, 1},
		{"broken late", outcome{target: stream, result: ResultBroken, whole: 101 * time.Millisecond}, 1},
		{
			"stream continues after its deadline",
			outcome{target: stream, result: ResultServed, firstToken: 99 * time.Millisecond, whole: time.Second}, 0,
		},
		{
			"stream starts late",
			outcome{target: stream, result: ResultServed, firstToken: 101 * time.Millisecond, whole: time.Second}, 1,
		},
		{"no deadline", outcome{target: &Target{}, result: ResultServed, whole: time.Hour}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTargetStats("")
			r.add(&c.outcome)
			if r.late != c.wantLate {
				t.Fatalf("late %d, want %d", r.late, c.wantLate)
			}
		})
	}
}

func TestClassAndDeadlineAreSent(t *testing.T) {
	url := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		left, err := strconv.Atoi(r.Header.Get(DefaultDeadlineHeader))
		if err != nil || left <= 0 || left > 60_000 || r.Header.Get(DefaultClassHeader) != "batch" {
			w.WriteHeader(http.StatusBadRequest)
		}
	})
	report, err := Run(t.Context(), Options{
		URL: url, Burst: 1, Targets: []Target{{Path: "/", Class: "batch", Deadline: time.Minute}},
	})
	if err != nil || report.Total.Served != 1 {
		t.Fatalf("got %+v, %v; want one served", report.Total, err)
	}
}

// Many streams are held open; one is refused and one fails while held. Both must be reported, and the run must neither
// wait for them indefinitely nor count them as held.
func TestHoldKeepsStreamsOpen(t *testing.T) {
	var arrived atomic.Int64
	release := make(chan struct{})
	url := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch arrived.Add(1) {
		case 1:
			http.Error(w, "full", http.StatusServiceUnavailable)
		case 2:
			writeToken(w, "x")
			<-release
			panic(http.ErrAbortHandler)
		default:
			writeToken(w, "x")
			<-r.Context().Done()
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	report, err := Hold(ctx, HoldOptions{
		Options: Options{URL: url, Rate: 1000, Targets: []Target{{Model: "m", Stream: true}}},
		Streams: 20, For: 500 * time.Millisecond, OnAllOpen: func() { close(release) },
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Planned != 20 || report.Open != 19 || report.Lost != 1 || report.Total.Refused != 1 || report.Total.Held != 18 {
		t.Fatalf("got %+v, want 19 open, 1 lost, 1 refused and 18 held", report)
	}
}

func TestCompareFindsTheAddedTime(t *testing.T) {
	const added = 30 * time.Millisecond
	answer := func(delay time.Duration, path string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(delay)
			if r.URL.Path != path {
				t.Errorf("path %q, want %q", r.URL.Path, path)
			}
			fmt.Fprint(w, "ok")
		}
	}
	comparison, err := Compare(t.Context(), CompareOptions{
		Via: Options{
			URL: startServer(t, answer(added, "/ledger/notices")), Rate: 100, Duration: 200 * time.Millisecond,
			Targets: []Target{{Path: "/ledger/notices"}},
		},
		DirectURL: startServer(t, answer(0, "/notices")), DirectPrefix: "/ledger/", Rounds: 2,
	})
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if err := comparison.Write(&text); err != nil {
		t.Fatal(err)
	}
	for _, a := range comparison.Overheads {
		if a.Measure == "whole answer" && a.P50 >= millis(added.Microseconds())/2 && a.P50Min <= a.P50Max {
			return
		}
	}
	t.Fatalf("the report does not show the added latency:\n%s", text.String())
}
