package timeline

import (
	"strings"
	"testing"
	"time"
)

// sampleLogs holds the logs of two gateways and two agents, concatenated out of order, with a log collector's prefix on one
// line and a truncated last line.
const sampleLogs = `
{"time":"2026-05-01T10:00:04.2Z","level":"INFO","msg":"request ended","process":"gateway-1","event":"ended","request":"late","model":"m1","endpoint":"e1","outcome":"answered","status":200,"waited":3100000000,"took":3200000000,"longest_gap":0}
{"time":"2026-05-01T10:00:04.1Z","level":"INFO","msg":"request ended","process":"gateway-1","event":"ended","request":"other","model":"m2","endpoint":"e2","outcome":"answered","status":200,"took":10000000}
{"time":"2026-05-01T10:00:01.0Z","level":"INFO","msg":"configuration in force","process":"gateway-1","event":"config","version":7}
host-9 | {"time":"2026-05-01T10:00:02.5Z","level":"INFO","msg":"placement","process":"gateway-2","event":"placement","engine":"e1","load":"m1","unload":["m3"],"source":"disk","oldest_wait":1500000000}
{"time":"2026-05-01T10:00:02.6Z","level":"INFO","msg":"order given","process":"agent-1","event":"order","endpoint":"e1","model":"m3","unload":true,"result":"accepted"}
{"time":"2026-05-01T10:00:02.7Z","level":"INFO","msg":"order given","process":"agent-2","event":"order","endpoint":"e2","model":"m4","unload":false,"result":"accepted"}
{"time":"2026-05-01T09:59:00.0Z","level":"INFO","msg":"placement","process":"gateway-2","event":"placement","engine":"e1","load":"m3","unload":["m1"],"source":"disk"}
{"time":"2026-05-01T10:00:03.0Z","level":"WARN","msg":"lines on requests left out","process":"gateway-1","event":"log_reduced","lines":12}
{"time":"2026-05-01T10:00:03.0Z","level":"WARN","msg":"lines on requ
`

// Given the identifier of a slow request, RelatedEvents must list its own events and the placements and orders for its
// model, and no events of other requests and engines.
func TestCausesOfARequest(t *testing.T) {
	var logs LogReader
	if err := logs.Read(strings.NewReader(sampleLogs)); err != nil {
		t.Fatal(err)
	}
	if logs.Malformed != 1 || logs.Dropped != 12 {
		t.Errorf("%d malformed and %d dropped lines, want 1 and 12", logs.Malformed, logs.Dropped)
	}
	var out strings.Builder
	if err := NewPrinter(&out, FormatText).Print(logs.Collection(logs.RelatedEvents("late", 10*time.Second))); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"# logs: 1 lines are no events", "# logs: 12 lines were left out by their processes", "# times from 2026-05-01T10:00:01Z on",
		"config", "placement", "order", "log_reduced", "waited=3.1s",
	}
	at := 0
	for _, text := range want {
		next := strings.Index(out.String()[at:], text)
		if next < 0 {
			t.Fatalf("%q is missing, or not in order:\n%s", text, out.String())
		}
		at += next
	}
	for _, text := range []string{"other", "m4", "m3 endpoint=e1 unload=[\"m1\"]"} {
		if strings.Contains(out.String(), text) {
			t.Errorf("unrelated event %q is listed:\n%s", text, out.String())
		}
	}
	if events := logs.Matching(Filter{Models: []string{"m1"}}); len(events) != 2 {
		t.Errorf("%d events of model m1, want 2: %v", len(events), events)
	}
	if events := logs.RelatedEvents("unlogged", time.Second); events != nil {
		t.Errorf("events of a request that is in no log: %v", events)
	}
}
