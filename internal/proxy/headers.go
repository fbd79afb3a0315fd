package proxy

import (
	"github.com/sumactrestle/sumactrestle/internal/proxy/idempotency"
)

// headerPrefix begins the names of the project's own header fields.
const headerPrefix = "Sumac-"

// The header fields between a proxy and a server, and towards the client.
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

// NotRunSuperseded is the value of the setting header.not_executed's header by which a target says
// that it refuses the epoch of a request and not the request itself.
const NotRunSuperseded = "superseded"
