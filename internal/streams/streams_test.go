package streams

import (
	"strconv"
	"testing"
	"time"
)

// Guards against a stream whose version changes, is forgotten while its client may come back, or stays known for ever.
func TestVersionOfAStream(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	r.Add(now, KeyOf("a"), "v1", now.Add(time.Second))
	r.Add(now, KeyOf("a"), "v2", now.Add(time.Minute))
	if v, ok := r.Version(now, KeyOf("a")); v != "v1" || !ok {
		t.Errorf("%q, %v", v, ok)
	}
	if _, ok := r.Version(now, KeyOf("b")); ok {
		t.Error("a stream that nobody began is known")
	}
	if _, ok := r.Version(now.Add(time.Second), KeyOf("a")); ok {
		t.Error("the stream is known after its time")
	}
}

// Guards against a flood of streams, which must not use memory without bound.
func TestMemoryIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	for i := range 3 * maxStreams {
		r.Add(now, KeyOf(strconv.Itoa(i)), "v1", now.Add(time.Minute))
	}
	if n := r.Len(); n > maxStreams {
		t.Errorf("%d streams are remembered", n)
	}
	if _, ok := r.Version(now, KeyOf(strconv.Itoa(3*maxStreams-1))); !ok {
		t.Error("the newest stream is not known")
	}
}
