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
	HeaderRequestID      = "Sumac-Request"
	HeaderAttempt        = "Sumac-Try"
	HeaderService        = "Sumac-Service"
	HeaderInstance       = "Sumac-Instance"
	HeaderSeal           = "Sumac-Seal"
	HeaderOutcome        = "Sumac-Outcome"
	HeaderCode           = "Sumac-Code"
	HeaderEpoch          = "Sumac-Epoch"
	HeaderProxy          = "Sumac-Proxy"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Seal is what a server puts into HeaderSeal.
func Seal(key, requestID, service, instance string, status int, body []byte) string {
	sum := sha256.Sum256(body)
	mac := hmac.New(sha256.New, []byte(key))
	for _, field := range []string{requestID, service, instance, strconv.Itoa(status), hex.EncodeToString(sum[:])} {
		mac.Write([]byte(field))
		mac.Write([]byte{'\n'})
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// VerifySeal checks a seal.
func VerifySeal(seal, key, requestID, service, instance string, status int, body []byte) bool {
	return hmac.Equal([]byte(seal), []byte(Seal(key, requestID, service, instance, status, body)))
}
