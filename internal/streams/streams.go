// Package streams records which version of the engines' software began each stream. What two versions write does not fit
// together, so a stream may go on only at the version that began it; its client mostly comes back to another gateway, and its
// engine may have ended. All gateways therefore share what they have begun.
package streams

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamsail/internal/sitelog"
)

// maxStreams bounds the streams that are remembered; one takes some 120 bytes.
const maxStreams = 1 << 16

// Key is the hash of the ID of the request that brought a stream's first event.
type Key uint64

// KeyOf returns the key of the stream that a request has begun.
func KeyOf(requestID string) Key { return Key(xxhash.Sum64String(requestID)) }

// Registry holds the streams that the gateways of a site have begun. It is safe for concurrent use.
type Registry struct {
	onAdd func()

	mu  sync.Mutex
	log *sitelog.Log[Key, string]
}

// New returns a registry without streams.
func New() *Registry {
	return &Registry{log: sitelog.New[Key, string](maxStreams, func(Key) {}), onAdd: func() {}}
}

// OnAdd sets a function that is called at each new stream. It must not block. Call OnAdd before the first request.
func (r *Registry) OnAdd(call func()) { r.onAdd = call }

// Add records the version that has begun a stream, until its client can no longer come back. Of two versions the first stays.
func (r *Registry) Add(now time.Time, key Key, version string, expires time.Time) {
	r.mu.Lock()
	added := r.log.Add(now, sitelog.Fact[Key, string]{Key: key, Value: version, Expires: expires})
	r.mu.Unlock()
	if added {
		r.onAdd()
	}
}

// Version returns the version that has begun a stream, if it is known.
func (r *Registry) Version(now time.Time, key Key) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.log.Get(now, key)
	return f.Value, ok
}

// End returns the position after all that is known.
func (r *Registry) End() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.End()
}

// Since returns the streams that became known from a position on, at most limit.
func (r *Registry) Since(now time.Time, position int64, limit int) ([]sitelog.Fact[Key, string], int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Since(now, position, limit)
}

// Len returns the number of streams that are remembered.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Len()
}
