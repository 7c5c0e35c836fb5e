package fanout

import (
	"fmt"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCacheEntries is the maximum number of stored results, regardless of their size.
const maxCacheEntries = 65536

// resultCache stores the last successful result of each call, up to maxBytes of keys and results. The least recently
// used results are evicted.
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
		return nil, fmt.Errorf("create the result cache: %w", err)
	}
	c.entries = entries
	return c, nil
}

// store stores the result of a key, and replaces an older one.
func (c *resultCache) store(key string, body []byte, now time.Duration) {
	c.entries.Remove(key) // the eviction callback subtracts its bytes
	c.entries.Add(key, cachedResult{body, now})
	c.bytes += len(key) + len(body)
	for c.bytes > c.maxBytes {
		c.entries.RemoveOldest()
	}
}

// load returns the stored result of a key and its age.
func (c *resultCache) load(key string, now time.Duration) (body []byte, age time.Duration, found bool) {
	result, found := c.entries.Get(key)
	return result.body, now - result.storedAt, found
}

// cacheKey returns the key of a call's stored result. Requests share a result if their route, call and request body are
// the same. A body has at most 2 KiB.
func (r *request) cacheKey(call int) string {
	return r.route.Plan.Route + "\x00" + r.route.Plan.Calls[call].Name + "\x00" + string(r.body)
}
