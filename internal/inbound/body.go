package inbound

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ReadBody reads the whole body of a request, which arrives from source, and holds it until the request ends. A limit of 0 means none.
// It returns ErrTooLong, ErrNoRoom or ErrYielded for a request that is to be refused, and the error of the source otherwise.
func ReadBody(r *http.Request, source io.Reader, limit int64) ([]byte, error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, ErrTooLong
	}
	c := connOf(r)
	if c == nil {
		return readAll(source, r.ContentLength, limit, func(int64) error { return nil })
	}
	if err := c.setPhase(phaseBody); err != nil {
		return nil, err
	}
	b := c.listener.budget
	if err := b.admitBody(c, r.ContentLength); err != nil {
		b.refusedBody(c)
		return nil, err
	}
	body, err := readAll(source, r.ContentLength, limit, func(by int64) error { return b.grow(c, by) })
	if phaseErr := c.setPhase(phaseServing); phaseErr != nil {
		return nil, phaseErr
	}
	// Trailers are not passed on.
	r.Trailer = nil
	if errors.Is(err, ErrNoRoom) {
		b.refusedBody(c)
	}
	return body, err
}

func (b *Budget) refusedBody(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteRefusal(time.Now(), c.listener.options.Name, "no room for the body")
}

// admitBody returns an error if a body of a declared length has no room now. It holds nothing: a client that declares a length may
// never send it.
func (b *Budget) admitBody(c *Conn, length int64) error {
	if length <= 0 {
		return nil
	}
	if err := b.grow(c, length); err != nil {
		return err
	}
	return b.grow(c, -length)
}

const (
	// firstBodyBytes is the first buffer of a body whose length is not declared.
	firstBodyBytes = 512
	// declaredBytes bounds the first buffer of one whose length is declared.
	declaredBytes = 16 << 10
)

// readAll reads a source to its end. It calls hold with each change of the memory that it takes.
func readAll(source io.Reader, declared, limit int64, hold func(by int64) error) ([]byte, error) {
	first := int64(firstBodyBytes)
	if declared >= 0 {
		first = min(declared, declaredBytes)
	}
	if err := hold(first); err != nil {
		return nil, err
	}
	body := make([]byte, 0, first)
	for {
		target := body[len(body):cap(body)]
		if len(target) == 0 && int64(len(body)) == declared {
			// Most sources report their end with the last bytes; this one has to be asked for it.
			target = make([]byte, 1)
		} else if len(target) == 0 {
			size := grownSize(cap(body), declared, limit)
			if err := hold(size - int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
			target = body[len(body):size]
		}
		n, err := source.Read(target)
		switch {
		case limit > 0 && int64(len(body)+n) > limit, int64(len(body)+n) > int64(cap(body)):
			return nil, ErrTooLong
		case err != nil && err != io.EOF:
			return nil, err
		}
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
	}
}

// grownSize returns the next size of the buffer of a body: twice the size, but no more than can come. One byte more than the limit shows
// that a body is longer.
func grownSize(size int, declared, limit int64) int64 {
	next := 2 * int64(size)
	if declared >= 0 {
		next = min(next, declared)
	}
	if limit > 0 {
		next = min(next, limit+1)
	}
	return next
}
