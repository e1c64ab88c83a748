package control

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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
