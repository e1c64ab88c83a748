package netconn

import "io"

// NotifyingReader calls OnBytes whenever bytes have been read from Reader.
type NotifyingReader struct {
	Reader  io.Reader
	OnBytes func()
}

// Read implements io.Reader.
func (r NotifyingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.OnBytes()
	}
	return n, err
}
