package engine

import (
	"container/list"
	"slices"
)

// lru is a cache of keys with sizes that evicts the least recently used ones when their total size exceeds the limit.
type lru struct {
	limit, used int64
	order       *list.List
	entries     map[string]*list.Element
}

type lruEntry struct {
	key  string
	size int64
}

func newLRU(limit int64) *lru {
	return &lru{limit: limit, order: list.New(), entries: map[string]*list.Element{}}
}

func (c *lru) has(key string) bool {
	_, ok := c.entries[key]
	return ok
}

// touch marks a key as the most recently used, adding it if it is missing, and returns the keys that were evicted. A key
// larger than the limit is not added.
func (c *lru) touch(key string, size int64) (evicted []string) {
	if size > c.limit {
		return nil
	}
	if element, ok := c.entries[key]; ok {
		c.order.MoveToFront(element)
		return nil
	}
	c.entries[key] = c.order.PushFront(lruEntry{key, size})
	c.used += size
	for c.used > c.limit {
		oldest := c.order.Remove(c.order.Back()).(lruEntry)
		delete(c.entries, oldest.key)
		c.used -= oldest.size
		evicted = append(evicted, oldest.key)
	}
	return evicted
}

func (c *lru) keys() []string {
	keys := make([]string, 0, len(c.entries))
	for key := range c.entries {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
