package gateway

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errBuffersFull ends an attempt whose response is too long for what other responses have left of the memory.
var errBuffersFull = errors.New("gateway: no memory left to buffer the response")

// buffers bounds the memory of all responses that are being buffered: endpoints that send bytes without end could otherwise
// have this process killed for its memory, with all that it serves.
type buffers struct{ used atomic.Int64 }

// readAll reads a body. It takes the memory that it needs in steps of the buffer's growth, and calls hold with each; the caller releases
// the length that is returned. It returns errInvalidResponse for a body that is longer than any response, errBuffersFull, and the errors
// of hold.
func (b *buffers) readAll(body io.Reader, hold func(by int64) error) ([]byte, error) {
	data := make([]byte, 0, readBufferSize)
	b.used.Add(int64(cap(data)))
	for {
		if len(data) == cap(data) {
			grown := 2 * cap(data)
			if grown > maxResponseBytes {
				return data, errors.Wrap(errInvalidResponse, "it is too large")
			}
			if b.used.Add(int64(cap(data))) > maxBufferedBytes {
				b.used.Add(-int64(cap(data)))
				return data, errBuffersFull
			}
			if err := hold(int64(cap(data))); err != nil {
				b.used.Add(-int64(cap(data)))
				return data, err
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// release returns the memory of a body that readAll has read.
func (b *buffers) release(body []byte) { b.used.Add(-int64(cap(body))) }
