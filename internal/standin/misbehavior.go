package standin

// Ways in which a server answers a request. Servers execute the request, but where it is
// said that they do not.
const (
	WellBehaved         = ""
	CloseUnanswered     = "lose"     // closes the connection without an answer
	Garbage             = "garbage"  // answers with bytes that are no HTTP
	TruncatedHeader     = "halfhead" // breaks off within the header
	TruncatedBody       = "cut"      // breaks off within the body
	UnframedResponse    = "unframed" // answers without a length and closes
	OversizedResponse   = "huge"     // answers with more than a proxy may hold
	DuplicateResponse   = "twice"    // answers two times
	SurplusResponse     = "surplus"  // answers with another's response and then with its own
	SwappedResponse     = "swapped"  // answers with the response of another request
	Unsealed            = "unsealed" // leaves out the seal
	ContradictoryNotRun = "denied"   // says beside its success that it did not execute it
	Failing             = "failing"  // answers that it failed
	Slow                = "slow"     // takes two seconds more
	Overloaded          = "full"     // does not execute it, and says so
	RejectedLate        = "late"     // does not execute it, and says so after the time of a request
	RejectedEarly       = "early"    // does not execute it, says so before the body came, and reads no more
)
