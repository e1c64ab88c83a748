package backing_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/standin/control"
	standin "balsamsail/internal/standin/platform"
)

const (
	callTimeout = 10 * time.Second
	// shortTimeout bounds the calls that get no response.
	shortTimeout = 250 * time.Millisecond
)

// everyCall injects a fault into every call.
var everyCall = control.Chance{Fraction: 1}

// nextCalls injects a fault into the next n calls.
func nextCalls(n int) control.Chance { return control.Chance{Next: n} }

// clients are the clients of one stand-in platform.
type clients struct {
	standin *standin.Server
	table   backing.Table
	objects backing.ObjectStore
	hosts   backing.HostList
}

func newClients(t *testing.T, o standin.Options) clients {
	t.Helper()
	s := standin.New(o)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return clientsOf(s, server.URL)
}

func clientsOf(s *standin.Server, url string) clients {
	o := backing.Options{TableURL: url, ObjectsURL: url, HostsURL: url, Timeout: callTimeout}
	return clients{
		standin: s,
		table:   backing.NewHTTPTable(o, nil),
		objects: backing.NewHTTPObjects(o, nil),
		hosts:   backing.NewHTTPHosts(o, nil),
	}
}

func put(key, value string) backing.Txn {
	return backing.Txn{Puts: []backing.Put{{Key: key, Value: []byte(value)}}}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// effect is the actual effect of a write.
type effect int

const (
	noEffect effect = iota
	hasEffect
	delayedEffect
)

// writeCases are faults of a store with the error that a writer must get. An error that means "no effect" must be
// correct, and a write whose outcome is uncertain must fail with ErrOutcomeUnknown.
var writeCases = []struct {
	name   string
	limits standin.StoreLimits
	faults standin.StoreFaults
	want   error
	effect effect
	// noResponse is set when neither a response nor a connection error is received.
	noResponse bool
}{
	{name: "no fault", effect: hasEffect},
	{name: "outage", faults: standin.StoreFaults{Outage: true}, want: backing.ErrUnavailable},
	{name: "hangs", faults: standin.StoreFaults{Hang: true}, want: backing.ErrOutcomeUnknown, noResponse: true},
	{
		name:       "slower than the timeout",
		faults:     standin.StoreFaults{LatencySeconds: 1e6},
		want:       backing.ErrOutcomeUnknown,
		noResponse: true,
	},
	{name: "connection lost before the write", faults: standin.StoreFaults{LoseBefore: nextCalls(1)}, want: backing.ErrOutcomeUnknown},
	{name: "connection lost after the write", faults: standin.StoreFaults{LoseAfter: nextCalls(1)}, want: backing.ErrOutcomeUnknown, effect: hasEffect},
	{name: "every connection lost after the write", faults: standin.StoreFaults{LoseAfter: everyCall}, want: backing.ErrOutcomeUnknown, effect: hasEffect},
	{
		name:   "delayed",
		faults: standin.StoreFaults{Delay: nextCalls(1), DelaySeconds: 0.05},
		want:   backing.ErrOutcomeUnknown,
		effect: delayedEffect,
	},
	{name: "rate limited", limits: standin.StoreLimits{WritesPerSecond: 1e-9}, want: backing.ErrRateLimited},
}

func TestWriteFaults(t *testing.T) {
	for _, c := range writeCases {
		stores := []struct {
			name  string
			write func(context.Context, clients) error
			has   func(clients) bool
		}{
			{
				name: "table",
				write: func(ctx context.Context, c clients) error {
					_, err := c.table.Commit(ctx, put("k", "v"))
					return err
				},
				has: func(c clients) bool { return len(c.standin.Rows("k").Rows) == 1 },
			},
			{
				name:  "objects",
				write: func(ctx context.Context, c clients) error { return c.objects.PutObject(ctx, "k", []byte("v")) },
				has:   func(c clients) bool { return c.standin.Object("k") != nil },
			},
		}
		for _, store := range stores {
			t.Run(c.name+"/"+store.name, func(t *testing.T) {
				clients := newClients(t, standin.Options{Table: c.limits, Objects: c.limits})
				spendBurst(t, clients)
				clients.standin.Faults().Update(func(f *standin.Faults) { f.Table, f.Objects = c.faults, c.faults })
				err := store.write(callContext(t, c.noResponse), clients)
				checkError(t, err, c.want)
				switch c.effect {
				case noEffect:
					if store.has(clients) {
						t.Error("the write took effect")
					}
				case hasEffect:
					if !store.has(clients) {
						t.Error("the write did not take effect")
					}
				case delayedEffect:
					waitFor(t, "the delayed write", func() bool { return store.has(clients) })
				}
			})
		}
	}
}

// callContext returns the context of a call. It has a short timeout if the call gets no response.
func callContext(t *testing.T, noResponse bool) context.Context {
	t.Helper()
	if !noResponse {
		return t.Context()
	}
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	t.Cleanup(cancel)
	return ctx
}

// spendBurst opens a connection to each store and uses up the single write that its rate limit allows at once.
func spendBurst(t *testing.T, c clients) {
	t.Helper()
	if _, err := c.table.Commit(t.Context(), put("other", "v")); err != nil {
		t.Fatal(err)
	}
	if err := c.objects.PutObject(t.Context(), "other", nil); err != nil {
		t.Fatal(err)
	}
}

// checkError checks that an error matches the wanted sentinel and none of the others: an unknown outcome must not match
// an error that means "no effect".
func checkError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("got %v, want %v", err, want)
	}
	for _, other := range []error{
		backing.ErrNotFound, backing.ErrUnavailable, backing.ErrRateLimited,
		backing.ErrOutcomeUnknown, backing.ErrInvalid,
	} {
		if other != want && errors.Is(err, other) {
			t.Errorf("%v also matches %v", err, other)
		}
	}
}

func TestReadFaults(t *testing.T) {
	cases := []struct {
		name       string
		limits     standin.StoreLimits
		faults     standin.StoreFaults
		want       error
		noResponse bool
	}{
		{name: "no fault"},
		{name: "outage", faults: standin.StoreFaults{Outage: true}, want: backing.ErrUnavailable},
		{name: "hangs", faults: standin.StoreFaults{Hang: true}, want: backing.ErrUnavailable, noResponse: true},
		{name: "every response lost", faults: standin.StoreFaults{LoseAfter: everyCall}, want: backing.ErrUnavailable},
		{name: "rate limited", limits: standin.StoreLimits{ReadsPerSecond: 1e-9}, want: backing.ErrRateLimited},
	}
	reads := []struct {
		name string
		read func(context.Context, clients) error
	}{
		{"get", func(ctx context.Context, c clients) error { _, err := c.table.Get(ctx, "other"); return err }},
		{"list", func(ctx context.Context, c clients) error { _, err := c.table.List(ctx, "", 0); return err }},
		{"object", func(ctx context.Context, c clients) error { _, err := c.objects.GetObject(ctx, "other"); return err }},
	}
	for _, c := range cases {
		for _, read := range reads {
			t.Run(c.name+"/"+read.name, func(t *testing.T) {
				clients := newClients(t, standin.Options{Table: c.limits, Objects: c.limits})
				spendBurst(t, clients)
				if c.limits.ReadsPerSecond > 0 {
					checkError(t, read.read(t.Context(), clients), nil)
				}
				clients.standin.Faults().Update(func(f *standin.Faults) { f.Table, f.Objects = c.faults, c.faults })
				checkError(t, read.read(callContext(t, c.noResponse), clients), c.want)
			})
		}
	}
}

// The service does not listen. No connection is made, so a write certainly had no effect.
func TestServiceDown(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	c := clientsOf(nil, server.URL)
	_, commitErr := c.table.Commit(t.Context(), put("k", "v"))
	checkError(t, commitErr, backing.ErrUnavailable)
	checkError(t, c.objects.PutObject(t.Context(), "k", nil), backing.ErrUnavailable)
	_, _, hostsErr := c.hosts.Hosts(t.Context())
	checkError(t, hostsErr, backing.ErrUnavailable)
}

// An intermediary such as a failing load balancer may answer a commit: only the responses that the table itself would
// send prove an outcome. A redirect must not send the commit to another server, or to the table a second time.
func TestAnswersThatProveNothing(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"success without revision", http.StatusOK, `{}`, backing.ErrOutcomeUnknown},
		{"success with a truncated body", http.StatusOK, `{"revision":`, backing.ErrOutcomeUnknown},
		{"conflict without row", http.StatusConflict, `conflict`, backing.ErrOutcomeUnknown},
		{"server error", http.StatusInternalServerError, `oops`, backing.ErrOutcomeUnknown},
		{"bad gateway", http.StatusBadGateway, ``, backing.ErrOutcomeUnknown},
		{"gateway timeout", http.StatusGatewayTimeout, ``, backing.ErrOutcomeUnknown},
		{"redirect", http.StatusTemporaryRedirect, ``, backing.ErrOutcomeUnknown},
		{"malformed", http.StatusBadRequest, `{"error":{"code":"invalid"}}`, backing.ErrInvalid},
		{"no such path", http.StatusNotFound, `404 page not found`, backing.ErrInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls++
				w.Header().Set("Location", r.URL.Path)
				w.WriteHeader(c.status)
				w.Write([]byte(c.body))
			}))
			defer server.Close()
			_, err := clientsOf(nil, server.URL).table.Commit(t.Context(), put("k", "v"))
			checkError(t, err, c.want)
			if calls != 1 {
				t.Errorf("the commit was received %d times, want 1", calls)
			}
		})
	}
}

// The deadline of the caller's context ends a read. The error must match ErrUnavailable, because nothing was read, and
// also its cause, so that the caller does not mistake its own deadline for an outage of the table.
func TestCausesAreKept(t *testing.T) {
	c := newClients(t, standin.Options{})
	c.standin.Faults().Update(func(f *standin.Faults) { f.Table.Hang = true })
	_, err := c.table.Get(callContext(t, true), "k")
	checkError(t, err, backing.ErrUnavailable)
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v does not match context.DeadlineExceeded", err)
	}
	if strings.Count(err.Error(), "platform:") != 1 {
		t.Errorf("%v does not contain exactly one sentinel", err)
	}
}

func TestHostListFaults(t *testing.T) {
	host := backing.Host{
		ID: "h1", Role: backing.RoleEndpoint, State: backing.HostLeaving,
		FailureDomain: "hall-north", Address: "10.0.0.1:7000", Endpoint: "engine-1",
	}
	cases := []struct {
		name   string
		faults standin.HostFaults
		want   error
		hosts  []backing.Host
	}{
		{name: "no fault", hosts: []backing.Host{host}},
		{name: "late", faults: standin.HostFaults{LagSeconds: 1e6}, hosts: []backing.Host{}},
		{name: "outage", faults: standin.HostFaults{Outage: true}, want: backing.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clients := newClients(t, standin.Options{})
			clients.standin.Faults().Update(func(f *standin.Faults) { f.Hosts = c.faults })
			clients.standin.PutHost(host)
			hosts, version, err := clients.hosts.Hosts(t.Context())
			checkError(t, err, c.want)
			if !slices.Equal(hosts, c.hosts) || version != uint64(len(c.hosts)) {
				t.Errorf("got %+v at version %d, want %+v", hosts, version, c.hosts)
			}
		})
	}
}
