package wire

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/wire/wirepb"
)

const testLimit = 1 << 10

// encodeFrame returns the encoding of one frame.
func encodeFrame(t testing.TB, m proto.Message) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := WriteFrame(&out, m); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// A stream may carry arbitrary bytes after a version mismatch, a broken link or from a malicious sender. Complete frames
// before the fault must be read, the fault must be distinguishable from a clean end, and nothing after it may be read as a
// frame: response body bytes could parse as a refusal, and an executed request would be reported as "not run".
func TestFrameReaderFaults(t *testing.T) {
	whole := encodeFrame(t, &wirepb.StreamHeader{Entry: "entry-1"})
	long := encodeFrame(t, &wirepb.StreamHeader{Entry: strings.Repeat("x", testLimit)})
	cases := []struct {
		name  string
		input []byte
		// frames is the number of frames read before want.
		frames int
		want   error
	}{
		{"empty input", nil, 0, ErrClosed},
		{"one frame", whole, 1, ErrClosed},
		{"an empty message", []byte{0}, 1, ErrClosed},
		{"exactly at the limit", encodeFrame(t, &wirepb.StreamHeader{Entry: strings.Repeat("x", testLimit-3)}), 1, ErrClosed},
		{"over the limit", join(whole, long), 1, ErrFrame},
		{"over the limit, followed by frames", join(long, whole, whole), 0, ErrFrame},
		{"a length of 63 bits", join([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, whole), 0, ErrFrame},
		{"an unterminated length", join(bytes.Repeat([]byte{0xff}, 16), whole), 0, ErrFrame},
		{"a field of an unknown wire type", join([]byte{2, 0x0f, 0x00}, whole), 0, ErrFrame},
		{"text that is not UTF-8", join([]byte{3, 0x12, 1, 0xff}, whole), 0, ErrFrame},
		{"a truncated field inside a complete frame", join([]byte{2, 0x12, 9}, whole), 0, ErrFrame},
		{"truncated in the length", []byte{0x80}, 0, ErrBroken},
		{"truncated after the length", join(whole, []byte{5}), 1, ErrBroken},
		{"truncated in the message", join(whole, whole[:len(whole)-1]), 1, ErrBroken},
		{"trailing bytes that are not a frame", join(whole, whole, []byte("x")), 2, ErrBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewFrameReader(bytes.NewReader(c.input), testLimit)
			for i := range c.frames {
				if err := r.Read(&wirepb.StreamHeader{}); err != nil {
					t.Fatalf("frame %d: %v", i, err)
				}
			}
			for range 3 {
				if err := r.Read(&wirepb.StreamHeader{}); !errors.Is(err, c.want) {
					t.Fatalf("got %v, want %v", err, c.want)
				}
			}
		})
	}
}

// An entry that times out within a response frame reads the stream once more to look for a refusal. It must not parse the
// rest of the frame as one: reading may continue after a timeout only if the timeout occurred between frames.
func TestReadAfterTimeout(t *testing.T) {
	whole := encodeFrame(t, &wirepb.StreamHeader{Entry: "entry-1"})
	cases := []struct {
		name   string
		before []byte
		want   error
		after  error
	}{
		{"between frames", whole, ErrTimeout, nil},
		{"within a frame", join(whole, []byte{100}), ErrBroken, ErrBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			local, remote := net.Pipe()
			defer local.Close()
			defer remote.Close()
			write := func(p []byte) { go func() { _, _ = remote.Write(p) }() }
			r := NewFrameReader(local, testLimit)
			write(c.before)
			if err := r.Read(&wirepb.StreamHeader{}); err != nil {
				t.Fatal(err)
			}
			_ = local.SetReadDeadline(time.Now().Add(time.Millisecond))
			if err := r.Read(&wirepb.StreamHeader{}); !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			_ = local.SetReadDeadline(time.Time{})
			write(whole)
			if err := r.Read(&wirepb.StreamHeader{}); !errors.Is(err, c.after) {
				t.Fatalf("after the timeout: got %v, want %v", err, c.after)
			}
		})
	}
}

// FuzzFrameReader reads arbitrary bytes. The reader must not panic, must end with one of the package's errors, and every
// message read must survive encoding and decoding.
func FuzzFrameReader(f *testing.F) {
	whole := encodeFrame(f, &wirepb.FromAgent{RequestId: "r", Frame: &wirepb.FromAgent_Trailer{Trailer: &wirepb.Trailer{Length: 7}}})
	f.Add(whole)
	f.Add(join(whole, whole[:3]))
	f.Add(bytes.Repeat([]byte{0xff}, 12))
	f.Fuzz(func(t *testing.T, input []byte) {
		r := NewFrameReader(bytes.NewReader(input), testLimit)
		for {
			m := &wirepb.FromAgent{}
			err := r.Read(m)
			if err != nil {
				if !errors.Is(err, ErrClosed) && !errors.Is(err, ErrFrame) && !errors.Is(err, ErrBroken) {
					t.Fatalf("got %v, want an error of this package", err)
				}
				return
			}
			again := &wirepb.FromAgent{}
			if err := NewFrameReader(bytes.NewReader(encodeFrame(t, m)), 2*testLimit).Read(again); err != nil || !proto.Equal(m, again) {
				t.Fatalf("%v was decoded as %v: %v", m, again, err)
			}
		}
	})
}

// A frame must be written in a single Write call, so that it becomes one yamux frame.
func TestWriteFrameWritesOnce(t *testing.T) {
	writes := 0
	w := writerFunc(func(p []byte) (int, error) { writes++; return len(p), nil })
	body := &wirepb.BodyChunk{Data: make([]byte, ChunkBytes)}
	if err := WriteFrame(w, body); err != nil || writes != 1 {
		t.Fatalf("%d writes, %v; want 1, nil", writes, err)
	}
	broken := writerFunc(func([]byte) (int, error) { return 3, io.ErrShortWrite })
	if err := WriteFrame(broken, body); !errors.Is(err, ErrBroken) {
		t.Fatalf("got %v, want ErrBroken", err)
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
