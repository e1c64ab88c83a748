// Package wire carries protobuf messages between the system's own processes. Each pair of entry and agent shares one TCP
// connection that is multiplexed by yamux, with one stream per request and one control stream.
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
	// MaxFrameBytes bounds one frame; a larger one is a protocol error that ends the stream.
	MaxFrameBytes = 1 << 20
	// MaxControlBytes bounds one control message, which may hold a full snapshot of the declarations.
	MaxControlBytes = 16 << 20
	// ChunkBytes is the maximum number of body bytes sent in one frame.
	ChunkBytes = 32 << 10

	readBufferBytes = 2 << 10
)

var (
	// ErrFrame reports a frame that is too large or malformed.
	ErrFrame = errors.New("wire: invalid frame")
	// ErrClosed reports that the connection or stream ended between frames.
	ErrClosed = errors.New("wire: closed")
	// ErrBroken reports that the connection or stream ended within a frame or failed with an I/O error.
	ErrBroken = errors.New("wire: connection broken")
	// ErrTimeout reports that dialing or waiting for a frame timed out.
	ErrTimeout = errors.New("wire: timed out")
)

// FrameReader reads length-delimited messages.
//
// A read that fails within a frame leaves the stream at an offset that is not a frame boundary, where body bytes could be
// parsed as a frame. Therefore every read after ErrFrame or ErrBroken returns the same error.
type FrameReader struct {
	buffered *bufio.Reader
	options  protodelim.UnmarshalOptions
	readErr  error
}

// NewFrameReader returns a reader that accepts messages of up to limit bytes.
func NewFrameReader(r io.Reader, limit int64) *FrameReader {
	return &FrameReader{
		buffered: bufio.NewReaderSize(r, readBufferBytes),
		options:  protodelim.UnmarshalOptions{MaxSize: limit},
	}
}

// SetLimit limits subsequent messages to limit bytes.
func (r *FrameReader) SetLimit(limit int64) { r.options.MaxSize = limit }

// Read reads the next message into m. It returns ErrClosed at a clean end of the stream, ErrTimeout if the read deadline
// passes between frames, and ErrFrame or ErrBroken otherwise.
func (r *FrameReader) Read(m proto.Message) error {
	if r.readErr != nil {
		return r.readErr
	}
	if _, err := r.buffered.Peek(1); err != nil {
		return peekError(err)
	}
	if err := r.options.UnmarshalFrom(r.buffered, m); err != nil {
		r.readErr = frameError(err)
	}
	return r.readErr
}

// frameError distinguishes an invalid frame from an incomplete one.
func frameError(err error) error {
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) || errors.Is(err, proto.Error) {
		return errors.Wrap(ErrFrame, err.Error())
	}
	return errors.Wrap(ErrBroken, err.Error())
}

// peekError distinguishes a clean end and an expired deadline from a broken stream.
func peekError(err error) error {
	if errors.Is(err, io.EOF) {
		return ErrClosed
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return ErrTimeout
	}
	return errors.Wrap(ErrBroken, err.Error())
}

// frameBuffers reuses the buffers that frames are encoded into.
var frameBuffers = sync.Pool{New: func() any { return new([]byte) }}

// WriteFrame writes one length-delimited message in a single Write call, so that it becomes one yamux frame.
func WriteFrame(w io.Writer, m proto.Message) error { return writeFrame(w, m, proto.Size(m)) }

// writeFrame writes a message whose size has just been computed; marshaling uses the cached size.
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
