package sendonce

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// Guards against bytes that are lost, changed or left out although they are not a whole response to another message.
func FuzzFind(f *testing.F) {
	for _, data := range []string{
		response("a", "own"),
		response("b", "other") + response("a", "own"),
		chunkedResponse("b", "x", "yy") + response("c", "") + chunkedResponse("a", "own"),
		"HTTP/1.1 103 Early Hints\r\n\r\n" + response("b", "x") + "HTTP/1.1 100 Continue\r\n\r\n" + response("a", "own"),
		"HTTP/1.0 200 OK\r\nId: b\r\n\r\nto the end",
		"HTTP/1.1 204 No Content\r\nId: b\r\n\r\n" + response("a", "own"),
		"HTTP/1.1 101 Switching Protocols\r\nId: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n1\r\nx\r\n0\r\nX: y\r\n\r\n" + response("a", "own"),
		"nonsense",
	} {
		f.Add([]byte(data), uint16(20), false)
		f.Add([]byte(data), uint16(len(data)), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, first uint16, head bool) {
		a := awaitedResponse{echo: "a", method: http.MethodPost, isOther: func(r *http.Response) bool { return r.Header.Get("Id") != "a" }}
		if head {
			a.method = http.MethodHead
		}
		n := min(int(first), len(data))
		a.begins(data[:n])
		rest := bytes.NewReader(data[n:])
		found, skipped := a.find(data[:n], rest)
		unread, err := io.ReadAll(rest)
		if err != nil {
			t.Fatal(err)
		}
		left := append(bytes.Clone(found), unread...)
		if !bytes.HasSuffix(data, left) {
			t.Fatalf("what is left, %q, is no end of %q", left, data)
		}
		// The responses are read out of all bytes: net/http looks ahead for the end of a trailer.
		source := bytes.NewReader(data)
		out := bufio.NewReaderSize(source, MaxHeaderBytes)
		for range skipped {
			r, err := http.ReadResponse(out, &http.Request{Method: a.method})
			for err == nil && r.StatusCode < http.StatusOK && r.StatusCode != http.StatusSwitchingProtocols {
				r, err = http.ReadResponse(out, &http.Request{Method: a.method})
			}
			if err != nil || !a.isOther(r) {
				t.Fatalf("left out of %q: %v, error %v; want a response to another message", data, r, err)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				t.Fatalf("left out of %q: a response that is not whole: %v", data, err)
			}
		}
		if read := len(data) - source.Len() - out.Buffered(); read != len(data)-len(left) {
			t.Fatalf("%d bytes left out of %q, want the %d of %d responses", len(data)-len(left), data, read, skipped)
		}
	})
}
