// Package control maintains the long-lived control connections (links) of a site. Hubs are gateways with a link to every
// engine agent; each other gateway has one to its hub, and each hub one to the hub that is the coordinator. Links carry
// soft state only; losing one makes that state stale but never fails a request.
package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/clock"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

const (
	// maxMessageBytes bounds a message; an engine class with 2,700 models takes about 100 kB.
	maxMessageBytes = 1 << 20
	// redialMin and redialMax bound the jittered delay before a reconnect, which doubles with each failed attempt.
	redialMin = 50 * time.Millisecond
	redialMax = 600 * time.Millisecond
	// dialTimeout bounds a connection attempt within a site, where a round trip takes a few milliseconds. A host that is
	// just starting drops the first packet, and the kernel sends it again only after a second.
	dialTimeout = 200 * time.Millisecond
)

// Options are the settings of links.
type Options struct {
	// Self is the address at which this process accepts links; peers identify the process by it.
	Self string
	// Interval is the time between two checks for something new to send, Heartbeat the longest time between two messages,
	// and SilenceLimit the time without a message after which a link is closed and reconnected.
	Interval, Heartbeat, SilenceLimit time.Duration
}

// sender is the sending side of a link. It suppresses a message that equals the last one until the heartbeat is due.
type sender struct {
	stream *wire.Stream
	last   proto.Message
	sentAt time.Time
}

// send sends a message if it differs from the last one or the heartbeat is due.
func (s *sender) send(now time.Time, m proto.Message, heartbeat time.Duration) error {
	if s.last != nil && now.Sub(s.sentAt) < heartbeat && proto.Equal(m, s.last) {
		return nil
	}
	if err := s.stream.Write(m); err != nil {
		return err
	}
	s.last, s.sentAt = m, now
	return nil
}

// link is a connection to another process that is reconnected whenever it fails.
type link struct {
	address string
	kind    wirepb.StreamKind
	options Options
	logger  *slog.Logger
	// wakeup makes the writer send an update before the interval has passed.
	wakeup chan struct{}
	// sendUpdate sends the current state; it is called at each interval and wakeup.
	sendUpdate func(now time.Time, s *sender) error
	// receive reads and handles one message.
	receive func(stream *wire.Stream) error
	// onProgress, if set, is called when bytes of a message have arrived.
	onProgress func()
	// onDisconnect, if set, is called with the error when a connection attempt fails or the connection is lost.
	onDisconnect func(err error)
}

// run keeps the link connected until ctx is done.
func (l *link) run(ctx context.Context) {
	connected := false
	delay := redialMin
	for ctx.Err() == nil {
		err := l.runConnection(ctx, &connected)
		delay = min(2*delay, redialMax)
		if connected {
			delay = redialMin
		}
		if l.onDisconnect != nil && ctx.Err() == nil {
			l.onDisconnect(err)
		}
		if connected {
			l.logger.Info("connection to peer lost", "event", "link_lost", "peer", l.address, "error", err)
			connected = false
		}
		clock.Pause(ctx, delay/2+rand.N(delay))
	}
}

// runConnection connects and exchanges messages until the connection fails. It sets *connected once the stream is open.
func (l *link) runConnection(ctx context.Context, connected *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A message of this connection must not be handled after those of the next one.
	var reader sync.WaitGroup
	defer reader.Wait()
	session, err := wire.Dial(ctx, l.address, WireOptions(l.options.SilenceLimit), l.logger)
	if err != nil {
		return err
	}
	defer session.Close()
	stream, err := session.Open(&wirepb.StreamHeader{Kind: l.kind, Entry: l.options.Self}, maxMessageBytes)
	if err != nil {
		return err
	}
	defer stream.Close()
	*connected = true
	l.logger.Info("connected to peer", "event", "link_made", "peer", l.address)
	stream.OnProgress(l.extendDeadline(stream))
	failed := make(chan error, 1)
	reader.Go(func() { failed <- l.read(stream) })
	return l.write(ctx, stream, failed)
}

// extendDeadline returns the function to call when bytes have arrived. A long message takes longer than the silence limit on a small
// link, whose peer is not silent meanwhile.
func (l *link) extendDeadline(stream *wire.Stream) func() {
	var extendedAt time.Time
	return func() {
		if now := time.Now(); now.Sub(extendedAt) > l.options.SilenceLimit/8 {
			extendedAt = now
			// A stream that is closed fails the read.
			_ = stream.SetReadDeadline(now.Add(l.options.SilenceLimit))
		}
		if l.onProgress != nil {
			l.onProgress()
		}
	}
}

func (l *link) read(stream *wire.Stream) error {
	for {
		if err := stream.SetReadDeadline(time.Now().Add(l.options.SilenceLimit)); err != nil {
			return err
		}
		if err := l.receive(stream); err != nil {
			return err
		}
	}
}

func (l *link) write(ctx context.Context, stream *wire.Stream, failed <-chan error) error {
	s := &sender{stream: stream}
	ticker := time.NewTicker(l.options.Interval)
	defer ticker.Stop()
	for {
		if err := l.sendUpdate(time.Now(), s); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case <-ticker.C:
		case <-l.wakeup:
		}
	}
}

// wake sends on a wakeup channel of capacity 1 without blocking.
func wake(wakeup chan struct{}) {
	select {
	case wakeup <- struct{}{}:
	default:
	}
}

// WireOptions returns the options of the wire connections that carry links. Their keep-alive probes are slower than the
// links' heartbeats, so that the heartbeats detect an unresponsive peer first.
func WireOptions(silenceLimit time.Duration) wire.Options {
	w := wire.DefaultOptions()
	w.KeepAlive = 10 * silenceLimit
	w.WriteTimeout = silenceLimit
	w.DialTimeout = dialTimeout
	return w
}
