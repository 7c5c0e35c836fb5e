package frontend

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quartzpoint/internal/frame"
	"quartzpoint/internal/server"
)

const (
	maxBodyBytes = 2 << 10
	maxQueuedKB  = 2000.0 // a queued request must take less than this of the worker pool's memory
	maxKeyBytes  = 256    // of an idempotency key
	// maxTenantBytes is the length up to which a tenant's name becomes a part of idempotency keys as it is.
	maxTenantBytes = 256
	maxTimeout     = 24 * time.Hour
)

// invalidField is the error of a request with an invalid field or body. Its text is the field's name on the wire, which
// operators read in the counters.
type invalidField string

func (f invalidField) Error() string { return string(f) }

const (
	invalidBody = invalidField("body")
	invalidKey  = invalidField(frame.FieldKey)
)

// parseRequest parses a request's fields and body. The result does not refer to the input buffer.
func (c *conn) parseRequest(fields frame.Fields, body []byte) (in server.IncomingRequest, err error) {
	text := func(name string) string {
		value, _ := fields.Get(name)
		return string(value)
	}
	in.Route, in.ID = text(frame.FieldRoute), text(frame.FieldRequestID)
	if !isRequestID(in.ID) {
		return in, invalidField(frame.FieldRequestID)
	}
	if len(body) > maxBodyBytes {
		return in, invalidBody
	}
	sentMS, err := strconv.ParseInt(text(frame.FieldSentMS), 10, 64)
	if err != nil || !c.frontend.server.PlausibleTimestamp(sentMS) {
		return in, invalidField(frame.FieldSentMS)
	}
	if timeout := text(frame.FieldTimeoutMS); timeout != "" {
		ms, err := strconv.ParseInt(timeout, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return in, invalidField(frame.FieldTimeoutMS)
		}
		in.Timeout = time.Duration(ms) * time.Millisecond
	}
	in.QueuedKB, err = strconv.ParseFloat(text(frame.FieldQueuedKB), 64)
	if err != nil || !(in.QueuedKB > 0 && in.QueuedKB < maxQueuedKB) {
		return in, invalidField(frame.FieldQueuedKB)
	}
	// Rank and router only influence decisions, so they are optional: a request without a valid rank is the first to be
	// shed, and one without a router counts as router 0.
	in.Rank, err = strconv.ParseFloat(text(frame.FieldRank), 64)
	if err != nil || !(in.Rank >= 0 && in.Rank < 1) {
		in.Rank = 0
	}
	tenant := text(frame.FieldTenant)
	in.Tenant = c.frontend.server.TenantIndex(tenant)
	if key := text(frame.FieldKey); key != "" {
		if len(key) > maxKeyBytes {
			return in, invalidKey
		}
		// The tenant is part of the key, so that tenants never share one. A request with the same key and another body
		// is a conflict.
		in.Key, in.Fingerprint = keyTenant(tenant)+"\x00"+key, xxhash.Sum64(body)
	}
	router, _ := strconv.ParseUint(text(frame.FieldRouter), 10, 32)
	in.Router, in.SentUnixMS = uint32(router), sentMS
	in.Body = append([]byte(nil), body...)
	return in, nil
}

// keyTenant returns the text that stands for a tenant in idempotency keys: its name, or the SHA-256 digest of a name
// longer than maxTenantBytes, as a peer may send any name and keys are kept for their whole window.
func keyTenant(name string) string {
	if len(name) <= maxTenantBytes {
		return name
	}
	digest := sha256.Sum256([]byte(name))
	return "\x00" + hex.EncodeToString(digest[:])
}

// isRequestID reports whether text is sixteen hexadecimal digits.
func isRequestID(text string) bool {
	for i := range len(text) {
		if !strings.ContainsRune("0123456789abcdefABCDEF", rune(text[i])) {
			return false
		}
	}
	return len(text) == 16
}
