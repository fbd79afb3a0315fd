package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// HeaderKey is the header field with which a client identifies a request that it may repeat.
const HeaderKey = "Idempotency-Key"

// A request with a key is identified by its method, path and key, but not by its service: a
// change of the configuration may route the path to another service between a request and
// its repeat.

// HashOf returns the hash that identifies a request in the proxies' memory; zero if the
// request has no key.
func HashOf(r *http.Request) uint64 {
	key := r.Header.Get(HeaderKey)
	if key == "" {
		return 0
	}
	return ids.Hash(r.Method, r.URL.Path, key) | 1
}

// RecordName returns the name of a request's record in the replicated state. All names have
// the same prefix, so that one leader collects the records of all proxies.
func RecordName(r *http.Request) string {
	sum := sha256.Sum256([]byte(r.Method + "\n" + r.URL.Path + "\n" + r.Header.Get(HeaderKey)))
	return "orders/" + hex.EncodeToString(sum[:16])
}
