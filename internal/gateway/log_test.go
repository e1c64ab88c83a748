package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Story: ten times as many requests come as on a usual day, all refused or answered. Their lines took a tenth of a small host's
// processor, which the requests needed. The log must keep to its budget, keep lines on requests in trouble when those on others
// are left out, and say how many are missing.
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
		l.line(now, i%20 == 0, "request ended", "event", "ended", "trouble", i%20 == 0)
	}
	text := out.String()
	ordinary, troubled := strings.Count(text, `"trouble":false`), strings.Count(text, `"trouble":true`)
	if most := ordinaryLines * (seconds + lineBurst); ordinary > most || ordinary < ordinaryLines*seconds {
		t.Errorf("%d ordinary lines, want %d to %d", ordinary, ordinaryLines*seconds, most)
	}
	if troubled != seconds*perSecond/20 {
		t.Errorf("%d lines on requests in trouble, want all %d", troubled, seconds*perSecond/20)
	}
	if n := strings.Count(text, "log_reduced"); n < seconds-lineBurst-1 || n > seconds+1 {
		t.Errorf("said %d times in %d s that lines are missing", n, seconds)
	}
	if missing := counted(t, registry, "balsamsail_gateway_log_lines_left_out_total"); missing != seconds*perSecond-ordinary-troubled {
		t.Errorf("counted %d lines as left out, want %d", missing, seconds*perSecond-ordinary-troubled)
	}
}

// counted reads a counter without labels.
func counted(t *testing.T, registry *prometheus.Registry, name string) int {
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
	t.Fatalf("there is no metric %s", name)
	return 0
}

// What a line on an answered request costs, with the fields that it has.
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
		now = now.Add(time.Second / ordinaryLines)
		l.line(now, false, "request ended", "event", "ended", "request", "9c41d07be2a35f68", "route", "r-huw98vc", "service", "advisory",
			"model", "puxa50b737", "adapter", "a21", "outcome", "answered", "status", 200, "endpoint", "i-7c50864846", "sendings", 1,
			"first_event", 129804383*time.Nanosecond, "longest_gap", 95*time.Millisecond, "waited", time.Millisecond, "took", 1291*time.Millisecond, "config", 5)
		bytes += out.Len()
		out.Reset()
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B/line")
}
