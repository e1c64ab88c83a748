package process

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// Story: whoever reads the logs stops reading. The pipe fills up, and without a writer of its own each request that logs a line
// hangs until the reader is back. Lines must be lost instead, and their number told.
func TestStoppedReaderCostsLinesOnly(t *testing.T) {
	reader, writer := io.Pipe()
	a := NewAsyncWriter(writer)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 2 * asyncWriterLines {
			_, _ = a.Write([]byte("line\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("writes block while nobody reads")
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
	giveUp := make(chan struct{})
	time.AfterFunc(5*time.Second, func() { close(giveUp) })
	a.Close(giveUp)
	_ = writer.Close()
	<-read
	text := got.String()
	if !strings.Contains(text, `"event":"log_dropped"`) || !strings.HasSuffix(text, "after\n") {
		t.Errorf("after the reader is back the last lines are %q, want the number dropped and the new line", text[max(0, len(text)-200):])
	}
}
