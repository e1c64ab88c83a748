package app

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/control"
	"balsamsail/internal/fleet"
	"balsamsail/internal/watch"
	"balsamsail/platform"
	"balsamsail/platform/standin"
)

// siteRig is a gateway's view of a site with two endpoints, a and b, which writes the rows of the store itself.
type siteRig struct {
	t        *testing.T
	fleet    *fleet.Fleet
	sync     *siteSync
	sink     endpointSink
	log      *bytes.Buffer
	revision int64
}

// startSiteRig starts a rig. The function that it returns stops it; the log is complete then.
func startSiteRig(t *testing.T) (r *siteRig, stop func()) {
	log := &bytes.Buffer{}
	logger := slog.New(slog.NewJSONHandler(log, nil))
	f := fleet.New("z", 1)
	f.SetConfig(catalog.NewConfig(1, catalog.ClientLimits{}, nil, nil))
	s := newSiteSync(f, control.NewAgents(control.Options{}, 1, f, logger), nil, logger)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.run(ctx) }()
	r = &siteRig{t: t, fleet: f, sync: s, sink: endpointSink{s}, log: log}
	r.sink.Replace([]watch.Row{r.registration("a"), r.registration("b")})
	return r, func() { cancel(); <-done }
}

func (r *siteRig) row(key string, value []byte) watch.Row {
	r.revision++
	return watch.Row{Key: key, Value: value, Revision: r.revision}
}

// registration returns the row of an endpoint; both are of the same process and address each time.
func (r *siteRig) registration(key string) watch.Row {
	return r.row(key, fmt.Appendf(nil, `{"service":"s","address":"10.0.0.%d:80","zone":"z","slots":4,"state":"ready","born":1764800000000}`, key[0]-'a'+1))
}

// serving returns the addresses of the endpoints that requests get.
func (r *siteRig) serving() string {
	// An update is applied once the next one is accepted.
	r.sync.updates <- func() {}
	request := &fleet.Request{Target: fleet.Target{Service: "s"}}
	var got []string
	for range 10 {
		// A request in flight keeps the next one from the same endpoint.
		if e, _, ok := r.fleet.Choose(time.Now(), request); ok {
			defer r.fleet.Done(e, request)
			got = append(got, e.Address)
		}
	}
	slices.Sort(got)
	return strings.Join(slices.Compact(got), " ")
}

// Guards against an odd row that stops the following of the table, takes other endpoints along, or keeps the endpoint whose row it
// overwrote out of use when that registers again.
func TestEachForeignRowLeavesTheOthers(t *testing.T) {
	for _, foreign := range standin.ForeignRegistrations("s", "10.0.0.9:80") {
		r, stop := startSiteRig(t)
		r.sink.Apply([]watch.Row{r.row("a", foreign.Value), r.row("new", foreign.Value)})
		if got := r.serving(); got != "10.0.0.2:80" {
			t.Errorf("%s: requests go to %q, want b", foreign.Name, got)
		}
		r.sink.Apply([]watch.Row{r.registration("a")})
		if got := r.serving(); got != "10.0.0.1:80 10.0.0.2:80" {
			t.Errorf("%s: requests go to %q after the registration returned, want a and b", foreign.Name, got)
		}
		r.sink.Replace([]watch.Row{r.row("a", foreign.Value), r.registration("b")})
		r.sink.Replace([]watch.Row{r.registration("a"), r.registration("b"), r.row("new", foreign.Value)})
		if got := r.serving(); got != "10.0.0.1:80 10.0.0.2:80" {
			t.Errorf("%s: requests go to %q after the table was read again, want a and b", foreign.Name, got)
		}
		stop()
		lines := 0
		for line := range strings.Lines(r.log.String()) {
			if strings.Contains(line, `"event":"bad_endpoint"`) {
				lines++
			}
			if len(line) > 700 {
				t.Errorf("%s: a line of %d bytes", foreign.Name, len(line))
			}
		}
		if lines == 0 || lines > 3 {
			t.Errorf("%s: %d lines on bad rows", foreign.Name, lines)
		}
	}
}

// Guards against a watch of the store that stops, or reads the table again and again, because of odd rows in it.
func TestTableWithForeignRowsIsFollowed(t *testing.T) {
	// maxRowBytes is the length of a value that the platform's store takes.
	const maxRowBytes = 64 << 10
	standIn := standin.NewStore()
	server := httptest.NewServer(standIn)
	defer server.Close()
	r, stop := startSiteRig(t)
	defer stop()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	good := func(key string) {
		standIn.PutBytes(platform.EndpointTable, key, r.registration(key).Value)
	}
	await := func(what, want string) {
		t.Helper()
		const limit = 5 * time.Second
		for deadline := time.Now().Add(limit); r.serving() != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("not within %v: %s; requests go to %q", limit, what, r.serving())
			}
		}
	}
	good("c")
	for i, foreign := range standin.ForeignRegistrations("s", "10.0.0.9:80") {
		if len(foreign.Value) <= maxRowBytes {
			standIn.PutBytes(platform.EndpointTable, fmt.Sprintf("foreign-%d", i), foreign.Value)
		}
	}
	for _, key := range standin.ForeignKeys {
		standIn.PutBytes(platform.EndpointTable, key, r.registration("i").Value)
	}
	replica := watch.NewReplica(platform.EndpointTable, r.sink)
	options := watch.Options{Wait: func() time.Duration { return time.Second }, MinBackoff: 10 * time.Millisecond, MaxBackoff: 20 * time.Millisecond}
	go watch.Run(ctx, platform.NewStore(server.Listener.Addr().String()), replica, options, slog.New(slog.DiscardHandler))
	await("the table with odd rows is read", "10.0.0.3:80")
	calls := standIn.Calls()
	good("d")
	await("a later endpoint is used", "10.0.0.3:80 10.0.0.4:80")
	for i, foreign := range standin.ForeignRegistrations("s", "10.0.0.9:80") {
		if len(foreign.Value) <= maxRowBytes && i%3 == 0 {
			standIn.PutBytes(platform.EndpointTable, "d", foreign.Value)
		}
	}
	await("the overwritten endpoint is out of use", "10.0.0.3:80")
	good("d")
	await("the overwritten endpoint is used again", "10.0.0.3:80 10.0.0.4:80")
	if n := standIn.Calls() - calls; n > 200 {
		t.Errorf("%d calls of the store for some 60 changes", n)
	}
}

// Guards against a log that grows with each time that another writer and an endpoint overwrite each other's row.
func TestRowThatComesBackIsLoggedOnce(t *testing.T) {
	r, stop := startSiteRig(t)
	for range 50 {
		r.sink.Apply([]watch.Row{r.row("a", []byte(`{"service":7}`))})
		r.sink.Apply([]watch.Row{r.registration("a")})
	}
	if got := r.serving(); got != "10.0.0.1:80 10.0.0.2:80" {
		t.Errorf("requests go to %q, want a and b", got)
	}
	stop()
	if n := strings.Count(r.log.String(), `"event":"bad_endpoint"`); n != 1 {
		t.Errorf("%d lines on the row, want 1", n)
	}
}

// Another writer puts rows into the table of registrations and overwrites one again and again. The other endpoints stay,
// the overwritten one returns with its next registration, and each bad row is logged once.
func TestForeignRowsAreSkipped(t *testing.T) {
	var log bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&log, nil))
	f := fleet.New("z", 1)
	f.SetConfig(catalog.NewConfig(1, catalog.ClientLimits{}, nil, nil))
	s := newSiteSync(f, control.NewAgents(control.Options{}, 1, f, logger), nil, logger)
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
