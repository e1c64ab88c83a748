// Package wire carries protobuf messages between the system's own processes: one TCP connection with yamux between an
// entry and an agent, one yamux stream for each request and one for control.
package wire

import (
	"bufio"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxFrameBytes bounds one frame; a peer that sends a larger one is wrong and loses its stream.
	MaxFrameBytes = 1 << 20
	// MaxControlBytes bounds one control batch, which may hold a whole snapshot of the declarations.
	MaxControlBytes = 16 << 20
	// ChunkBytes is the most body bytes that are sent in one frame.
	ChunkBytes = 32 << 10

	readBufferBytes = 2 << 10
)

var (
	// ErrFrame says that a frame was too large or malformed.
	ErrFrame = errors.New("wire: bad frame")
	// ErrClosed says that the connection or stream ended between frames.
	ErrClosed = errors.New("wire: closed")
	// ErrBroken says that the connection or stream ended within a frame or by an error below.
	ErrBroken = errors.New("wire: broken")
	// ErrTimeout says that the read deadline passed.
	ErrTimeout = errors.New("wire: read deadline passed")
)

// FrameReader reads length-delimited messages.
//
// A read that failed within a frame leaves the stream at a place that is no frame's beginning: what comes next, part of a
// body perhaps, could be taken for a frame. So after ErrFrame or ErrBroken each further read fails the same way.
type FrameReader struct {
	buffered *bufio.Reader
	options  protodelim.UnmarshalOptions
	broken   error
}

// NewFrameReader returns a reader that accepts messages of up to limit bytes.
func NewFrameReader(r io.Reader, limit int64) *FrameReader {
	return &FrameReader{
		buffered: bufio.NewReaderSize(r, readBufferBytes),
		options:  protodelim.UnmarshalOptions{MaxSize: limit},
	}
}

// SetLimit bounds the next messages to limit bytes.
func (r *FrameReader) SetLimit(limit int64) { r.options.MaxSize = limit }

// Read fills m with the next message. It fails with ErrClosed at a clean end, ErrTimeout between frames, ErrFrame or
// ErrBroken.
func (r *FrameReader) Read(m proto.Message) error {
	if r.broken != nil {
		return r.broken
	}
	if _, err := r.buffered.Peek(1); err != nil {
		return closedError(err)
	}
	if err := r.options.UnmarshalFrom(r.buffered, m); err != nil {
		r.broken = frameError(err)
	}
	return r.broken
}

// frameError tells a wrong frame from one that did not come whole.
func frameError(err error) error {
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) || errors.Is(err, proto.Error) {
		return errors.Wrap(ErrFrame, err.Error())
	}
	return errors.Wrap(ErrBroken, err.Error())
}

// closedError tells a clean end and a passed deadline from a broken stream.
func closedError(err error) error {
	if errors.Is(err, io.EOF) {
		return ErrClosed
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return ErrTimeout
	}
	return errors.Wrap(ErrBroken, err.Error())
}

// frameBuffers holds buffers of written frames for the next ones.
var frameBuffers = sync.Pool{New: func() any { return new([]byte) }}

// WriteFrame writes one length-delimited message with a single Write, so that it becomes one yamux frame.
func WriteFrame(w io.Writer, m proto.Message) error { return writeFrame(w, m, proto.Size(m)) }

// writeFrame writes a message whose size was just worked out.
func writeFrame(w io.Writer, m proto.Message, size int) error {
	pooled := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(pooled)
	frame := protowire.AppendVarint((*pooled)[:0], uint64(size))
	frame, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(frame, m)
	if err != nil {
		return errors.Wrap(ErrFrame, err.Error())
	}
	*pooled = frame
	if _, err := w.Write(frame); err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	return nil
}
