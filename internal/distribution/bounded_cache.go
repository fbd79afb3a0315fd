package distribution

import "sync"

// boundedCache keeps what was computed for one request for the next. When it is full it
// forgets everything: its entries are worth keeping only as long as an epoch is new.
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
