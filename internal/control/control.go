// Package control keeps the links over which a site's processes tell each other what they know: each gateway has one to
// every agent beside an engine, and one to the gateway that coordinates. All of it is soft state; a lost link costs
// knowledge, never a request.
package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/clock"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

const (
	// maxMessageBytes bounds a message; an engine's class with 2,700 models takes some 100 kB.
	maxMessageBytes = 1 << 20
	// redialMin and redialMax bound the jittered pause before a link is made anew. An agent that is restarted is back within
	// half a second.
	redialMin = 100 * time.Millisecond
	redialMax = 600 * time.Millisecond
)

// Options are the settings of links.
type Options struct {
	// Self is the address at which this process listens for links; it names the process to others.
	Self string
	// Interval is the least time between two messages of the same kind, Heartbeat the longest between any two, and
	// SilenceLimit the silence after which a link is made anew.
	Interval, Heartbeat, SilenceLimit time.Duration
}

// sender is one direction of a link: it sends a message when it differs from the last one, and at each heartbeat.
type sender struct {
	stream *wire.Stream
	last   proto.Message
	sentAt time.Time
}

// send sends a message if it says something new or the heartbeat is due.
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

// link is one connection that this process keeps open to another.
type link struct {
	address string
	options Options
	logger  *slog.Logger
	// kick wakes the writer before its interval has passed.
	kick chan struct{}
	// tick sends what there is to say.
	tick func(now time.Time, s *sender) error
	// receive reads one message and takes it in.
	receive func(stream *wire.Stream) error
	// ended is told why the link could not be made, or was lost; nil where nobody asks.
	ended func(err error)
}

// run keeps the link until ctx ends.
func (l *link) run(ctx context.Context) {
	up := false
	for ctx.Err() == nil {
		err := l.once(ctx, &up)
		if l.ended != nil && ctx.Err() == nil {
			l.ended(err)
		}
		if up {
			l.logger.Info("link lost", "event", "link_lost", "peer", l.address, "error", err)
			up = false
		}
		clock.Pause(ctx, redialMin+rand.N(redialMax-redialMin))
	}
}

// once makes the connection and uses it until it fails.
func (l *link) once(ctx context.Context, up *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	session, err := wire.Dial(ctx, l.address, WireOptions(l.options.SilenceLimit), l.logger)
	if err != nil {
		return err
	}
	defer session.Close()
	stream, err := session.Open(&wirepb.StreamHeader{Kind: wirepb.StreamKind_CONTROL, Entry: l.options.Self}, maxMessageBytes)
	if err != nil {
		return err
	}
	defer stream.Close()
	*up = true
	l.logger.Info("link made", "event", "link_made", "peer", l.address)
	failed := make(chan error, 1)
	go func() { failed <- l.read(stream) }()
	return l.write(ctx, stream, failed)
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
		if err := l.tick(time.Now(), s); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case <-ticker.C:
		case <-l.kick:
		}
	}
}

// wake wakes a link's writer.
func wake(kick chan struct{}) {
	select {
	case kick <- struct{}{}:
	default:
	}
}

// WireOptions are the settings of the connections below links that are made anew after a silence. Their own probes are
// slower than the links' heartbeats, which find a silent peer first.
func WireOptions(silenceLimit time.Duration) wire.Options {
	w := wire.DefaultOptions()
	w.KeepAlive = 10 * silenceLimit
	w.WriteTimeout = silenceLimit
	return w
}
