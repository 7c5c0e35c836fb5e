package fanout

import (
	"fmt"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCacheEntries bounds the number of stored results, whatever their size.
const maxCacheEntries = 65536

// resultCache stores the last successful result of each call, up to a number of bytes of keys and results. The least
// recently used are evicted.
type resultCache struct {
	entries         *simplelru.LRU[string, cachedResult]
	bytes, maxBytes int
}

type cachedResult struct {
	body     []byte
	storedAt time.Duration
}

func newResultCache(maxBytes int) (*resultCache, error) {
	c := &resultCache{maxBytes: maxBytes}
	entries, err := simplelru.NewLRU(maxCacheEntries, func(key string, result cachedResult) { c.bytes -= len(key) + len(result.body) })
	if err != nil {
		return nil, fmt.Errorf("making the result cache: %w", err)
	}
	c.entries = entries
	return c, nil
}

// store replaces the result of a key.
func (c *resultCache) store(key string, body []byte, now time.Duration) {
	c.entries.Remove(key) // so that its bytes are counted out
	c.entries.Add(key, cachedResult{body, now})
	c.bytes += len(key) + len(body)
	for c.bytes > c.maxBytes {
		c.entries.RemoveOldest()
	}
}

// load returns the result of a key and its age.
func (c *resultCache) load(key string, now time.Duration) (body []byte, age time.Duration, found bool) {
	result, found := c.entries.Get(key)
	return result.body, now - result.storedAt, found
}

// cacheKey names the result of a call: that of the same call of the same route with the same request body. A body has
// 2 KiB at the most.
func (r *request) cacheKey(call int) string {
	return r.route.Plan.Route + "\x00" + r.route.Plan.Calls[call].Name + "\x00" + string(r.body)
}
