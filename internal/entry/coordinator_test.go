package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/atmostonce"
	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/declarations"
	"balsamsail/internal/membership"
	"balsamsail/internal/replicas"
	standin "balsamsail/internal/standin/platform"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// scriptedAgent is a fake agent whose control stream the test reads and writes.
type scriptedAgent struct {
	address string
	stream  chan *wire.Stream
	done    chan struct{}
}

// newScriptedAgent listens as an agent does and passes the control stream to the test.
func newScriptedAgent(t *testing.T) *scriptedAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &scriptedAgent{address: listener.Addr().String(), stream: make(chan *wire.Stream), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	handle := func(ctx context.Context, _ *wirepb.StreamHeader, s *wire.Stream) {
		s.SetLimit(wire.MaxControlBytes)
		select {
		case a.stream <- s:
		case <-a.done:
		}
		<-ctx.Done()
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = wire.Serve(ctx, listener, wire.DefaultOptions(), slog.New(slog.DiscardHandler), handle) })
	t.Cleanup(func() {
		close(a.done)
		cancel()
		serving.Wait()
	})
	return a
}

// readUntil reads batches until one matches.
func readUntil(t *testing.T, s *wire.Stream, wanted func(*wirepb.ControlDown) bool) {
	t.Helper()
	_ = s.SetReadDeadline(time.Now().Add(10 * time.Second))
	for {
		down := &wirepb.ControlDown{}
		if err := s.Read(down); err != nil {
			t.Fatalf("the expected batch did not arrive: %v", err)
		}
		if wanted(down) {
			return
		}
	}
}

// startEntry runs an entry against a stand-in platform that lists one engine host.
func startEntry(t *testing.T, agentAddress string) *Entry {
	t.Helper()
	e, _ := startEntryAt(t, agentAddress)
	return e
}

// startEntryAt is startEntry that also returns the stand-in platform.
func startEntryAt(t *testing.T, agentAddress string) (*Entry, *standin.Server) {
	t.Helper()
	server := standin.New(standin.Options{Hosts: []backing.Host{
		{ID: "entry-1", Role: backing.RoleEntry, State: backing.HostLive, FailureDomain: "a", Address: "127.0.0.1:1"},
		{ID: "host-1", Role: backing.RoleEndpoint, State: backing.HostLive, FailureDomain: "a", Address: agentAddress, Endpoint: "engine-1"},
	}})
	site := httptest.NewServer(server.Handler())
	t.Cleanup(site.Close)
	o := backing.Options{TableURL: site.URL, ObjectsURL: site.URL, HostsURL: site.URL, Timeout: time.Second}
	table := backing.NewHTTPTable(o, nil)
	logger := slog.New(slog.DiscardHandler)
	registry := prometheus.NewRegistry()
	recorder := timeline.NewRecorder("entry-1", 1024, timeline.NewHybridClock(time.Now))
	memberOptions := membership.DefaultOptions()
	memberOptions.EntryID = "entry-1"
	members := membership.NewManager(memberOptions, backing.NewHTTPHosts(o, nil), clock.Real{}, logger, registry, recorder)
	e := New(Options{ID: "entry-1", FailureDomain: "a", MaxAttempts: 2}, Dependencies{
		Members:    members,
		Store:      declarations.NewStore(declarations.Options{}, table, clock.Real{}, logger, registry),
		Claims:     atmostonce.NewClaims(table, atmostonce.ClaimsOptions{}),
		Clock:      clock.Real{},
		Logger:     logger,
		Registerer: registry,
		Recorder:   recorder,
	})
	e.SetGrants(replicas.NewManager(replicas.DefaultOptions(), table, e.GrantInputs(), clock.Real{}, logger, registry, recorder))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = e.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return e, server
}

// An edit is made after an agent has connected and before its first report. The push of the edit skips the agent,
// because it does not count as connected yet. Unless the entry checks the agent's revision at each report, the agent
// would stay at the old revision until the next edit.
func TestEditBetweenConnectionAndFirstReport(t *testing.T) {
	agent := newScriptedAgent(t)
	e := startEntry(t, agent.address)
	control := <-agent.stream
	first := &wirepb.ControlDown{}
	if err := control.Read(first); err != nil {
		t.Fatal(err)
	}
	result, err := e.store.Edit(t.Context(), declarations.EditRequest{
		Author: "test",
		Change: declarations.SetDrain("engine-9", true),
	})
	if err != nil {
		t.Fatal(err)
	}
	if held := first.Snapshot.GetRevision(); held >= result.Revision {
		t.Fatalf("the first batch already holds revision %d", held)
	}
	report := &wirepb.ControlUp{Status: &wirepb.Status{Full: true, Endpoint: "engine-1", Kind: kindEngine, Ready: true}}
	if err := control.Write(report); err != nil {
		t.Fatal(err)
	}
	readUntil(t, control, func(down *wirepb.ControlDown) bool { return down.Snapshot.GetRevision() >= result.Revision })
}
