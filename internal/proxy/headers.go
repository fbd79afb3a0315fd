package proxy

import (
	"github.com/sumactrestle/sumactrestle/internal/proxy/idempotency"
)

// headerPrefix is the prefix of the project's header field names.
const headerPrefix = "Sumac-"

// Header fields exchanged between proxies, targets and clients.
const (
	HeaderRequestID      = headerPrefix + "Request"
	HeaderAttempt        = headerPrefix + "Try"
	HeaderService        = headerPrefix + "Service"
	HeaderInstance       = headerPrefix + "Instance"
	HeaderSeal           = headerPrefix + "Seal"
	HeaderOutcome        = headerPrefix + "Outcome"
	HeaderCode           = headerPrefix + "Code"
	HeaderEpoch          = headerPrefix + "Epoch"
	HeaderProxy          = headerPrefix + "Proxy"
	HeaderIdempotencyKey = idempotency.HeaderKey
)

// NotRunSuperseded is the value of the header field set by header.not_executed with which a
// target rejects the epoch of a request, and not the request itself.
const NotRunSuperseded = "superseded"
