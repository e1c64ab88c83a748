package load

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
)

func TestOnlyLoopbackIsSentTo(t *testing.T) {
	cases := []struct {
		url     string
		wantErr error
	}{
		{url: "http://127.0.0.1:8080"},
		{url: "http://127.9.9.9:8080"},
		{url: "http://[::1]:8080"},
		{url: "http://[::ffff:127.0.0.1]:8080"},
		{url: "http://localhost:8080"},
		{url: "http://10.0.0.1:8080", wantErr: ErrNotLoopback},
		{url: "http://192.0.2.1", wantErr: ErrNotLoopback},
		{url: "http://example.com", wantErr: ErrNotLoopback},
		{url: "http://127.0.0.1.example.com", wantErr: ErrNotLoopback},
		{url: "http://localhost@192.0.2.1", wantErr: ErrNotLoopback},
		{url: "http://0.0.0.0:8080", wantErr: ErrNotLoopback},
		{url: "https://127.0.0.1:8080", wantErr: ErrOptions},
		{url: "127.0.0.1:8080", wantErr: ErrOptions},
	}
	for _, c := range cases {
		t.Run(c.url, func(t *testing.T) {
			if err := checkLoopback(c.url); !errors.Is(err, c.wantErr) {
				t.Fatalf("error %v, want %v", err, c.wantErr)
			}
		})
	}
}

// "localhost" passes the check of the URL but may resolve to another machine, which the dialer must reject.
func TestDialerRefusesOtherMachines(t *testing.T) {
	cases := []struct {
		address string
		wantErr error
	}{
		{address: "127.0.0.1:80"},
		{address: "[::1]:80"},
		{address: "192.0.2.1:80", wantErr: ErrNotLoopback},
		{address: "[2001:db8::1]:80", wantErr: ErrNotLoopback},
	}
	for _, c := range cases {
		t.Run(c.address, func(t *testing.T) {
			if err := newDialer().ControlContext(t.Context(), "tcp", c.address, nil); !errors.Is(err, c.wantErr) {
				t.Fatalf("error %v, want %v", err, c.wantErr)
			}
		})
	}
}

func TestSchedule(t *testing.T) {
	cases := []struct {
		name     string
		options  Options
		wantMin  int
		wantMax  int
		wantZero int
	}{
		{name: "constant", options: Options{Rate: 100, Duration: 10 * time.Second, Arrivals: ArrivalsConstant}, wantMin: 999, wantMax: 1000},
		{name: "poisson", options: Options{Rate: 100, Duration: 10 * time.Second}, wantMin: 900, wantMax: 1100},
		{name: "burst alone", options: Options{Burst: 50}, wantMin: 50, wantMax: 50, wantZero: 50},
		{name: "burst and rate", options: Options{Burst: 50, Rate: 10, Duration: time.Second, Arrivals: ArrivalsConstant}, wantMin: 59, wantMax: 60, wantZero: 50},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.options.URL = "http://127.0.0.1:1"
			c.options.Targets = []Target{{Model: "a", Weight: 3}, {Model: "b"}}
			options, err := c.options.check()
			if err != nil {
				t.Fatal(err)
			}
			first, second := newSchedule(&options), newSchedule(&options)
			var n, zero, last int
			for {
				call, ok := first.call()
				again, _ := second.call()
				if call != again {
					t.Fatalf("the same options generated %+v and %+v", call, again)
				}
				if !ok {
					break
				}
				if call.At == 0 {
					zero++
				}
				if int(call.At) < last {
					t.Fatalf("call %d is planned before its predecessor", n)
				}
				last = int(call.At)
				n++
			}
			if n < c.wantMin || n > c.wantMax || zero != c.wantZero {
				t.Fatalf("%d calls, %d of them at the start; want %d to %d, %d", n, zero, c.wantMin, c.wantMax, c.wantZero)
			}
		})
	}
}

func TestTargetsAreChosenByWeight(t *testing.T) {
	options, err := Options{
		URL: "http://127.0.0.1:1", Burst: 4000, Targets: []Target{{Model: "a", Weight: 3}, {Model: "b"}},
	}.check()
	if err != nil {
		t.Fatal(err)
	}
	plan := newSchedule(&options)
	var chosen [2]float64
	for call, ok := plan.call(); ok; call, ok = plan.call() {
		chosen[call.TargetIndex]++
	}
	if share := chosen[0] / 4000; math.Abs(share-0.75) > 0.03 {
		t.Fatalf("the target with weight 3 of 4 got a share of %.3f, want 0.75", share)
	}
}

func TestParseTarget(t *testing.T) {
	cases := []struct {
		text    string
		want    Target
		wantErr error
	}{
		{
			text: "narrator@2,weight=3,class=batch,deadline=5s,stream=true,tokens=32",
			want: Target{
				Name: "narrator@2", Model: "narrator@2", ServedAs: "narrator@2", Weight: 3, Class: "batch", Deadline: 5 * time.Second,
				Stream: true, MaxTokens: 32, Method: http.MethodPost,
			},
		},
		{
			text: "/ledger/notices,method=PUT,body=100,name=notices",
			want: Target{
				Name: "notices", Path: "/ledger/notices", Method: http.MethodPut, BodyBytes: 100, Weight: 1,
				MaxTokens: DefaultMaxTokens,
			},
		},
		{
			text: "narrator,served-as=narrator@2",
			want: Target{
				Name: "narrator", Model: "narrator", ServedAs: "narrator@2", Weight: 1, Method: http.MethodPost,
				MaxTokens: DefaultMaxTokens,
			},
		},
		{text: "", wantErr: ErrOptions},
		{text: "m,tokens=many", wantErr: ErrOptions},
		{text: "m,colour=red", wantErr: ErrOptions},
		{text: "m,weight=-1", wantErr: ErrOptions},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			got, err := ParseTarget(c.text)
			if got != c.want || !errors.Is(err, c.wantErr) {
				t.Fatalf("got %+v, %v; want %+v, %v", got, err, c.want, c.wantErr)
			}
		})
	}
}
