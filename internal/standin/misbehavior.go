package standin

// Values that Server.Misbehavior returns. The server executes the request unless stated
// otherwise.
const (
	WellBehaved         = ""
	CloseUnanswered     = "lose"     // closes the connection without a response
	Garbage             = "garbage"  // sends bytes that are not HTTP
	TruncatedHeader     = "halfhead" // closes the connection within the header
	TruncatedBody       = "cut"      // closes the connection within the body
	UnframedResponse    = "unframed" // sends no Content-Length and closes the connection
	OversizedResponse   = "huge"     // sends a body larger than the proxy's limit
	DuplicateResponse   = "twice"    // sends the response twice
	SurplusResponse     = "surplus"  // sends the previous request's response before the right one
	SwappedResponse     = "swapped"  // sends the previous request's response instead of the right one
	Unsealed            = "unsealed" // omits the seal
	ContradictoryNotRun = "denied"   // sends a success with HeaderNotRun set
	Failing             = "failing"  // responds with status 500
	Slow                = "slow"     // waits slowDelay before it responds
	Overloaded          = "full"     // rejects the request without executing it; opaque servers only
	RejectedLate        = "late"     // rejects the request after the service time without executing it
	RejectedEarly       = "early"    // rejects the request without reading its body or executing it; opaque servers only
)
