package proxy

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/proxy/upstream"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Seal returns the seal of a response, which a target sends in the header field set by
// header.seal. It is an HMAC under the service's key of the request ID, the target's service and
// instance, the status and the hash of the whole body. A response without a valid seal is not
// returned to a client.
func Seal(key, requestID, service, instance string, status int, body []byte) string {
	bodyHash := sha256.Sum256(body)
	mac := hmac.New(sha256.New, []byte(key))
	for _, field := range []string{requestID, service, instance, strconv.Itoa(status), hex.EncodeToString(bodyHash[:])} {
		mac.Write([]byte(field))
		mac.Write([]byte{'\n'})
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// VerifySeal reports whether the seal is valid for the response.
func VerifySeal(seal, key, requestID, service, instance string, status int, body []byte) bool {
	return hmac.Equal([]byte(seal), []byte(Seal(key, requestID, service, instance, status, body)))
}

// verifySeal checks the seal of a target's response. Opaque seals can only be checked for
// presence, which is required of success responses. With opaque seals, every response must also
// carry the request's ID and be framed so that a truncated body is detected (RFC 9112, section 8).
func (p *Proxy) verifySeal(plan *requestPlan, target rpc.Target, response *upstream.Response) error {
	header := response.HTTP.Header
	seal := header.Get(p.environment.Config.HeaderSeal)
	sealed := false
	if p.opaqueSeals {
		success := response.HTTP.StatusCode < 300
		sealed = header.Get(p.environment.Config.HeaderRequestID) == plan.requestID && (!success || seal != "") && (response.HTTP.ContentLength >= 0 || len(response.HTTP.TransferEncoding) > 0)
	} else {
		sealed = VerifySeal(seal, plan.service.Key, plan.requestID, plan.service.Name, target.Instance, response.HTTP.StatusCode, response.Body)
	}
	if !sealed {
		p.environment.Events.Emit(eventlog.SealRejected, "request", plan.requestID, "service", plan.service.Name, "instance", target.Instance, "address", target.Address, "status", response.HTTP.StatusCode)
		return errcode.New(errcode.InvalidSeal, "%s", target.Instance)
	}
	return nil
}
