package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Ten times the usual number of requests arrive. Their log lines used to take a tenth of a small host's processor. The
// log must keep to its rate limit, still write the lines on requests with problems when it drops others, and report how
// many were dropped.
func TestFloodOfRequestsKeepsToTheBudgetOfTheLog(t *testing.T) {
	var out bytes.Buffer
	registry := prometheus.NewRegistry()
	metrics, err := NewMetrics(registry)
	if err != nil {
		t.Fatal(err)
	}
	l := newRequestLog(slog.New(slog.NewJSONHandler(&out, nil)), metrics)
	now := time.Unix(1000, 0)
	const seconds, perSecond = 10, 2000
	for i := range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		l.write(now, i%20 == 0, "request ended", "event", "ended", "trouble", i%20 == 0)
	}
	text := out.String()
	ordinary, problems := strings.Count(text, `"trouble":false`), strings.Count(text, `"trouble":true`)
	if maxOrdinary := ordinaryLinesPerSecond * (seconds + lineBurstSeconds); ordinary > maxOrdinary || ordinary < ordinaryLinesPerSecond*seconds {
		t.Errorf("%d ordinary lines, want %d to %d", ordinary, ordinaryLinesPerSecond*seconds, maxOrdinary)
	}
	if problems != seconds*perSecond/20 {
		t.Errorf("%d lines on requests with problems, want all %d", problems, seconds*perSecond/20)
	}
	if n := strings.Count(text, "log_reduced"); n < seconds-lineBurstSeconds-1 || n > seconds+1 {
		t.Errorf("dropped lines were reported %d times in %d s", n, seconds)
	}
	if dropped := counterValue(t, registry, "balsamsail_gateway_log_lines_left_out_total"); dropped != seconds*perSecond-ordinary-problems {
		t.Errorf("counted %d dropped lines, want %d", dropped, seconds*perSecond-ordinary-problems)
	}
}

// counterValue returns the value of a counter without labels.
func counterValue(t *testing.T, registry *prometheus.Registry, name string) int {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return int(f.GetMetric()[0].GetCounter().GetValue())
		}
	}
	t.Fatalf("metric %s not found", name)
	return 0
}

// BenchmarkLine measures the cost and size of a line on an answered request with its usual fields.
func BenchmarkLine(b *testing.B) {
	var out bytes.Buffer
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		b.Fatal(err)
	}
	l := newRequestLog(slog.New(slog.NewJSONHandler(&out, nil)).With("process", "edge-domain-1"), metrics)
	now := time.Unix(1000, 0)
	bytes := 0
	for b.Loop() {
		now = now.Add(time.Second / ordinaryLinesPerSecond)
		l.write(now, false, "request ended", "event", "ended", "request", "9c41d07be2a35f68", "route", "r-huw98vc", "service", "advisory",
			"model", "puxa50b737", "adapter", "a21", "outcome", "answered", "status", 200, "endpoint", "i-7c50864846", "sendings", 1,
			"first_event", 129804383*time.Nanosecond, "longest_gap", 95*time.Millisecond, "waited", time.Millisecond, "took", 1291*time.Millisecond, "config", 5)
		bytes += out.Len()
		out.Reset()
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B/line")
}
