package process

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// The reader of the logs stops reading and the pipe fills up. Writes must not block; lines must be dropped instead, and
// their number logged once the reader resumes.
func TestStoppedReaderCostsLinesOnly(t *testing.T) {
	reader, writer := io.Pipe()
	a := NewAsyncWriter(writer)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 2 * asyncWriterCapacity {
			_, _ = a.Write([]byte("line\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocked on a full pipe")
	}
	var got bytes.Buffer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(&got, reader)
	}()
	deadline := time.Now().Add(5 * time.Second)
	for len(a.lines) > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	_, _ = a.Write([]byte("after\n"))
	abort := make(chan struct{})
	time.AfterFunc(5*time.Second, func() { close(abort) })
	a.Close(abort)
	_ = writer.Close()
	<-read
	text := got.String()
	if !strings.Contains(text, `"event":"log_dropped"`) || !strings.HasSuffix(text, "after\n") {
		t.Errorf("the last lines are %q, want the number of dropped lines and the new line", text[max(0, len(text)-200):])
	}
}

// Guards against long lines, which hold what clients have sent, that fill the memory while the reader of the logs stands still.
func TestStoppedReaderOfLongLines(t *testing.T) {
	reader, writer := io.Pipe()
	a := NewAsyncWriter(writer)
	line := bytes.Repeat([]byte("x"), 16<<10)
	for range asyncWriterCapacity {
		_, _ = a.Write(line)
	}
	if held := len(a.lines) * len(line); held > asyncWriterBytes {
		t.Errorf("%d bytes are buffered", held)
	}
	abort := make(chan struct{})
	close(abort)
	_ = reader.Close()
	a.Close(abort)
	<-a.done
}
