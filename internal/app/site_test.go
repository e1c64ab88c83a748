package app

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/control"
	"balsamsail/internal/fleet"
	"balsamsail/internal/watch"
)

// Another writer puts rows into the table of registrations and overwrites one again and again. The other endpoints stay,
// the overwritten one returns with its next registration, and each bad row is logged once.
func TestForeignRowsAreSkipped(t *testing.T) {
	var log bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&log, nil))
	f := fleet.New("z", 1)
	f.SetConfig(catalog.NewConfig(1, catalog.ClientLimits{}, nil, nil))
	s := newSiteSync(f, control.NewAgents(control.Options{}, 1, f, logger), logger)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.run(ctx) }()
	revision := int64(0)
	row := func(key, value string) watch.Row {
		revision++
		return watch.Row{Key: key, Value: []byte(value), Revision: revision}
	}
	registration := func(key string) watch.Row {
		return row(key, `{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","born":1000}`)
	}
	serving := func() int {
		// An update is applied once the next one is accepted.
		s.updates <- func() {}
		taken := 0
		for range 10 {
			if _, _, ok := f.Choose(time.Now(), &fleet.Request{Target: fleet.Target{Service: "s"}}); ok {
				taken++
			}
		}
		return taken
	}
	sink := endpointSink{s}
	sink.Replace([]watch.Row{registration("a"), row("x", "\xff\xfe"), registration("b")})
	for range 50 {
		sink.Apply([]watch.Row{row("a", `{"service":7}`), row("x", `[]`), row("y", strings.Repeat("[", 100_000))})
	}
	sink.Apply([]watch.Row{row("b", `{"state":"unheard"}`)})
	if n := serving(); n != 0 {
		t.Errorf("%d requests got an endpoint of a row that is not a registration", n)
	}
	sink.Apply([]watch.Row{registration("b")})
	if n := serving(); n != 10 {
		t.Errorf("%d of 10 requests got an endpoint after the registration returned", n)
	}
	stop()
	<-done
	if lines := strings.Count(log.String(), "event=bad_endpoint"); lines != 4 {
		t.Errorf("%d log lines on bad rows, want one for each of a, b, x and y", lines)
	}
	if log.Len() > 10_000 {
		t.Errorf("the log has %d bytes", log.Len())
	}
}
