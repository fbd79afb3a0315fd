package distribution

import "sync"

// boundedCache holds at most limit computed values for reuse by later requests. A put into a
// full cache clears it first: entries are useful only while an epoch is new, so there is no
// per-entry eviction. It is safe for concurrent use.
type boundedCache[V any] struct {
	limit int

	// mu guards entries.
	mu      sync.Mutex
	entries map[string]V
}

func newBoundedCache[V any](limit int) *boundedCache[V] {
	return &boundedCache[V]{limit: limit, entries: map[string]V{}}
}

func (c *boundedCache[V]) get(key string) (value V, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	value, ok = c.entries[key]
	return value, ok
}

func (c *boundedCache[V]) put(key string, value V) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) >= c.limit {
		clear(c.entries)
	}
	c.entries[key] = value
}

func (c *boundedCache[V]) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.entries)
}
