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

// frame is one frame as it goes over the wire.
func frame(t testing.TB, m proto.Message) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := WriteFrame(&out, m); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// A peer of another version, a broken link or a hostile sender puts anything on a stream. Whole frames before the fault
// must come through, the fault must be told from a clean end, and nothing behind it may be read as a frame: the bytes of
// an answer's body could read as a refusal, and a request that ran would be called "not run".
func TestFrameReaderFaults(t *testing.T) {
	whole := frame(t, &wirepb.StreamHeader{Entry: "entry-1"})
	long := frame(t, &wirepb.StreamHeader{Entry: strings.Repeat("x", testLimit)})
	cases := []struct {
		name  string
		input []byte
		// frames come through before want.
		frames int
		want   error
	}{
		{"nothing", nil, 0, ErrClosed},
		{"one frame", whole, 1, ErrClosed},
		{"an empty message", []byte{0}, 1, ErrClosed},
		{"as long as allowed", frame(t, &wirepb.StreamHeader{Entry: strings.Repeat("x", testLimit-3)}), 1, ErrClosed},
		{"over the limit", join(whole, long), 1, ErrFrame},
		{"over the limit, frames behind it", join(long, whole, whole), 0, ErrFrame},
		{"a length of 63 bits", join([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, whole), 0, ErrFrame},
		{"a length that never ends", join(bytes.Repeat([]byte{0xff}, 16), whole), 0, ErrFrame},
		{"a field of an unknown wire type", join([]byte{2, 0x0f, 0x00}, whole), 0, ErrFrame},
		{"text that is not UTF-8", join([]byte{3, 0x12, 1, 0xff}, whole), 0, ErrFrame},
		{"a field cut short inside a whole frame", join([]byte{2, 0x12, 9}, whole), 0, ErrFrame},
		{"cut in the length", []byte{0x80}, 0, ErrBroken},
		{"cut after the length", join(whole, []byte{5}), 1, ErrBroken},
		{"cut in the message", join(whole, whole[:len(whole)-1]), 1, ErrBroken},
		{"trailing bytes that are no frame", join(whole, whole, []byte("x")), 2, ErrBroken},
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

// An entry gives up on an answer while one of its frames is half here, looks at the stream once more for a refusal, and
// finds one: in the text of the answer. The read that follows a time-out must go on only if that came between frames.
func TestReadAfterTimeout(t *testing.T) {
	whole := frame(t, &wirepb.StreamHeader{Entry: "entry-1"})
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
			here, there := net.Pipe()
			defer here.Close()
			defer there.Close()
			write := func(p []byte) { go func() { _, _ = there.Write(p) }() }
			r := NewFrameReader(here, testLimit)
			write(c.before)
			if err := r.Read(&wirepb.StreamHeader{}); err != nil {
				t.Fatal(err)
			}
			_ = here.SetReadDeadline(time.Now().Add(time.Millisecond))
			if err := r.Read(&wirepb.StreamHeader{}); !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			_ = here.SetReadDeadline(time.Time{})
			write(whole)
			if err := r.Read(&wirepb.StreamHeader{}); !errors.Is(err, c.after) {
				t.Fatalf("after the time-out: got %v, want %v", err, c.after)
			}
		})
	}
}

// FuzzFrameReader reads whatever bytes come: no panic, no frame over the limit, an end in one of the package's errors,
// and what was read writes the same frames again.
func FuzzFrameReader(f *testing.F) {
	whole := frame(f, &wirepb.FromAgent{RequestId: "r", Frame: &wirepb.FromAgent_Trailer{Trailer: &wirepb.Trailer{Length: 7}}})
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
					t.Fatalf("an error of another layer: %v", err)
				}
				return
			}
			again := &wirepb.FromAgent{}
			if err := NewFrameReader(bytes.NewReader(frame(t, m)), 2*testLimit).Read(again); err != nil || !proto.Equal(m, again) {
				t.Fatalf("%v came back as %v: %v", m, again, err)
			}
		}
	})
}

// A frame is one Write, so that it becomes one frame of the session below.
func TestWriteFrameWritesOnce(t *testing.T) {
	writes := 0
	w := writerFunc(func(p []byte) (int, error) { writes++; return len(p), nil })
	body := &wirepb.BodyChunk{Data: make([]byte, ChunkBytes)}
	if err := WriteFrame(w, body); err != nil || writes != 1 {
		t.Fatalf("%d writes, %v", writes, err)
	}
	broken := writerFunc(func([]byte) (int, error) { return 3, io.ErrShortWrite })
	if err := WriteFrame(broken, body); !errors.Is(err, ErrBroken) {
		t.Fatalf("got %v, want ErrBroken", err)
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
