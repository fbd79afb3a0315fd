// Package gate is the path of a request: first a plan as data, then the plan is
// carried out on pipes of its own. This file is the seal: a server signs the
// request's id, its own service and instance, the status and the whole body,
// and nothing that lacks a right seal is handed to a caller as an answer.
package proxy

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// The headers between a proxy and a server, and towards the caller.
const (
	HeaderRequest  = "Sumac-Request"
	HeaderTry      = "Sumac-Try"
	HeaderService  = "Sumac-Service"
	HeaderInstance = "Sumac-Instance"
	HeaderSeal     = "Sumac-Seal"
	HeaderOutcome  = "Sumac-Outcome"
	HeaderCode     = "Sumac-Code"
	HeaderEpoch    = "Sumac-Epoch"
	HeaderProxy    = "Sumac-Proxy"
	HeaderOnce     = "Idempotency-Key"
)

// Seal is what a server puts into HeaderSeal.
func Seal(key, request, service, instance string, status int, body []byte) string {
	sum := sha256.Sum256(body)
	sealer := hmac.New(sha256.New, []byte(key))
	for _, word := range []string{request, service, instance, strconv.Itoa(status), hex.EncodeToString(sum[:])} {
		sealer.Write([]byte(word))
		sealer.Write([]byte{'\n'})
	}
	return hex.EncodeToString(sealer.Sum(nil))
}

// IsSealed checks a seal.
func IsSealed(seal, key, request, service, instance string, status int, body []byte) bool {
	return hmac.Equal([]byte(seal), []byte(Seal(key, request, service, instance, status, body)))
}
