package control

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/clock"
	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// shortListener closes each connection soon after it was made.
type shortListener struct{ net.Listener }

func (l shortListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		time.AfterFunc(50*time.Millisecond, func() { _ = conn.Close() })
	}
	return conn, err
}

// Guards against a message of an earlier connection that is applied after those of the one that has replaced it.
func TestConnectionsMessagesAreNotHandledSideBySide(t *testing.T) {
	listener := listenLoopback(t)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() {
		_ = wire.Serve(ctx, shortListener{listener}, WireOptions(time.Second), discardLogger, func(ctx context.Context, _ *wirepb.StreamHeader, stream *wire.Stream) {
			_ = stream.Write(&controlpb.Demand{})
			clock.Pause(ctx, time.Second)
		})
	})
	var handling, handled atomic.Int64
	l := &link{
		address: listener.Addr().String(), kind: wirepb.StreamKind_CONTROL, options: testOptions("self"), logger: discardLogger, wakeup: make(chan struct{}, 1),
		sendUpdate: func(now time.Time, s *sender) error { return s.send(now, &controlpb.Demand{}, time.Millisecond) },
		receive: func(stream *wire.Stream) error {
			if err := stream.Read(&controlpb.Demand{}); err != nil {
				return err
			}
			if handling.Add(1) > 1 {
				t.Error("a message is handled while one of the earlier connection is")
			}
			time.Sleep(300 * time.Millisecond)
			handling.Add(-1)
			handled.Add(1)
			return nil
		},
	}
	running.Go(func() { l.run(ctx) })
	eventually(t, "messages of three connections are handled", func() bool { return handled.Load() >= 3 })
}

// Guards against a command that is sent when an agent comes back, long after the coordinator has given it up and decided anew.
func TestCommandThatWasGivenUpIsNotSent(t *testing.T) {
	listener := listenLoopback(t)
	reserved := listenLoopback(t)
	address := reserved.Addr().String()
	_ = reserved.Close()
	agent := &fakeAgent{listener: reserved}
	g := startGateway(t, listener, agent)
	g.agents.SendCommand(&controlpb.Command{Id: 1, EndpointId: "e1", Load: "old"})
	time.Sleep(commandTTL + 100*time.Millisecond)
	returned, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { _ = wire.Serve(ctx, returned, WireOptions(time.Second), discardLogger, agent.serve) })
	eventually(t, "the agent gets a message", func() bool { return agent.hasReceived(func(*controlpb.ToAgent) bool { return true }) })
	g.agents.SendCommand(&controlpb.Command{Id: 2, EndpointId: "e1", Load: "new"})
	eventually(t, "the agent gets the new command", func() bool {
		return agent.hasReceived(func(m *controlpb.ToAgent) bool { return m.Command.GetId() == 2 })
	})
	if agent.hasReceived(func(m *controlpb.ToAgent) bool { return m.Command.GetId() == 1 }) {
		t.Error("the agent got the command that was given up")
	}
}

// Guards against a part of the coordinator's message being used although the whole cannot be decoded.
func TestMessageOfTheCoordinatorThatCannotBeDecoded(t *testing.T) {
	good := &controlpb.Demand{LimitShare: shareUnit / 2, Limits: []*controlpb.EndpointLimit{{EndpointId: "e1", Named: true, PerSecond: 2}}}
	encoded, err := proto.Marshal(good)
	if err != nil {
		t.Fatal(err)
	}
	odd := &controlpb.Demand{}
	// A group that has no end.
	odd.ProtoReflect().SetUnknown(protowire.AppendTag(encoded, 1000, protowire.StartGroupType))
	for _, c := range []struct {
		name    string
		message *controlpb.Demand
		want    int
	}{{"whole", good, 1}, {"not whole", odd, 0}} {
		t.Run(c.name, func(t *testing.T) {
			gateways, _ := startSite(t, 1)
			g := gateways[0]
			eventually(t, "the gateway knows the engine", g.engineReported)
			listener := listenLoopback(t)
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			defer running.Wait()
			defer cancel()
			var sent atomic.Int64
			running.Go(func() {
				_ = wire.Serve(ctx, listener, WireOptions(time.Second), discardLogger, func(ctx context.Context, _ *wirepb.StreamHeader, stream *wire.Stream) {
					if err := stream.Write(c.message); err != nil {
						t.Error(err)
					}
					sent.Add(1)
					clock.Pause(ctx, 200*time.Millisecond)
				})
			})
			stop := g.peers.follow(ctx, listener.Addr().String())
			defer stop()
			eventually(t, "two messages are sent", func() bool { return sent.Load() >= 2 })
			if n := g.fleet.LimitedEndpoints(); n != c.want {
				t.Errorf("%d endpoints with a limit, want %d", n, c.want)
			}
		})
	}
}
