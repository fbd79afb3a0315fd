package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// HeaderKey is the header field by which a client names a request that it may repeat.
const HeaderKey = "Idempotency-Key"

// A request with a key is identified by its method, path and key. The service is left out:
// a change of the configuration may lead the path to another one between a request and its
// repeat.

// HashOf identifies a request within the proxies' memory; zero for one without a key.
func HashOf(r *http.Request) uint64 {
	key := r.Header.Get(HeaderKey)
	if key == "" {
		return 0
	}
	return ids.Hash(r.Method, r.URL.Path, key) | 1
}

// RecordName is the name of a request's record in the replicated state. All records lie in
// one space, so that those of all proxies are gathered at one leader.
func RecordName(r *http.Request) string {
	sum := sha256.Sum256([]byte(r.Method + "\n" + r.URL.Path + "\n" + r.Header.Get(HeaderKey)))
	return "orders/" + hex.EncodeToString(sum[:16])
}
