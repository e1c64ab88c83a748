package sendonce

import "testing"

// Guards against a Transfer-Encoding that is missed because the head arrives in parts, or found where none is.
func TestTransferEncodingOfAnotherVersion(t *testing.T) {
	for head, want := range map[string]bool{
		"HTTP/1.0 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer": true,
		"HTTP/1.0 200 OK\ntransfer-encoding:chunked\n\n":                           true,
		"HTTP/0.9 200 OK\r\nTRANSFER-ENCODING: gzip\r\n\r\n":                       true,
		"HTTP/1.0 200 OK\r\nX: y\r\n\r\nTransfer-Encoding: chunked\r\n\r\n":        false,
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\n\r\n":                  false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                    false,
	} {
		for part := 1; part <= len(head); part++ {
			var h responseHead
			for begin := 0; begin < len(head); begin += part {
				h.add([]byte(head[begin:min(begin+part, len(head))]))
			}
			if got := h.hasTransferEncoding(); got != want {
				t.Errorf("%q in parts of %d: %t, want %t", head, part, got, want)
			}
		}
	}
}
