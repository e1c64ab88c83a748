package sitelog

import (
	"fmt"
	"testing"
	"time"
)

func addAll(l *Log[int, string], now time.Time, life time.Duration, keys ...int) {
	for _, k := range keys {
		l.Add(now, Fact[int, string]{Key: k, Value: fmt.Sprint(k), Expires: now.Add(life)})
	}
}

func keysOf(list []Fact[int, string]) string {
	var keys []int
	for _, f := range list {
		keys = append(keys, f.Key)
	}
	return fmt.Sprint(keys)
}

// Guards against facts that a link skips, or sends for ever, while others are added, expire or make room.
func TestSinceReturnsEachFactOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New[int, string](4, func(int) {})
	addAll(l, now, time.Minute, 1, 2, 1)
	first, position := l.Since(now, 0, 10)
	if got := keysOf(first); got != "[1 2]" {
		t.Errorf("first: %s", got)
	}
	addAll(l, now, time.Minute, 3, 4, 5)
	second, position := l.Since(now, position, 2)
	third, position := l.Since(now, position, 2)
	if got := keysOf(second) + keysOf(third); got != "[3 4][5]" {
		t.Errorf("then: %s", got)
	}
	if list, _ := l.Since(now, position, 10); len(list) != 0 {
		t.Errorf("again: %s", keysOf(list))
	}
	if _, known := l.Get(now, 1); known || l.Len() != 4 {
		t.Errorf("the oldest fact is kept beyond the capacity: %d", l.Len())
	}
	addAll(l, now.Add(2*time.Minute), time.Minute, 6)
	if l.Len() != 1 {
		t.Errorf("%d facts after the others have expired", l.Len())
	}
	if list, _ := l.Since(now.Add(2*time.Minute), position, 10); keysOf(list) != "[6]" {
		t.Errorf("after expiry: %s", keysOf(list))
	}
}
