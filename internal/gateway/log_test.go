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
