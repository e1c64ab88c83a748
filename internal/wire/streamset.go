package wire

import (
	"sync"

	"github.com/hashicorp/yamux"
)

// streamSet holds the open streams of a session.
//
// Readers of the streams of a closed session spin inside the library until it has closed their streams one by one, which
// takes the locks that they use. On a busy machine, hundreds of them kept it from ending for more than 20 s. An expired
// read deadline makes them return, and setting it takes no lock.
type streamSet struct {
	mu      sync.Mutex
	expired bool
	streams map[*Stream]struct{}
}

// newStreamSet returns an empty set that expires when the session has closed.
func newStreamSet(mux *yamux.Session) *streamSet {
	s := &streamSet{streams: make(map[*Stream]struct{})}
	go func() {
		<-mux.CloseChan()
		s.expire()
	}()
	return s
}

func (s *streamSet) add(stream *Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[stream] = struct{}{}
	if s.expired {
		stream.expire()
	}
}

func (s *streamSet) remove(stream *Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, stream)
}

// expire makes all pending and later reads fail.
func (s *streamSet) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expired = true
	for stream := range s.streams {
		stream.expire()
	}
}
