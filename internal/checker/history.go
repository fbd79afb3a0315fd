package checker

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// Kind is what a record tells of.
type Kind string

// Kinds of records. Those with a duration last from Start to At.
const (
	ScenarioStarted    Kind = "began"    // Note names the scenario
	ScenarioEnded      Kind = "ended"    // the scenario is over, and every client and server was heard out
	RequestCompleted   Kind = "called"   // a client's request, from Start to At
	RequestExecuted    Kind = "ran"      // a server executed a request that came at Start, if that is set
	RequestRejected    Kind = "reached"  // a request reached a server, which turned it away
	DrainAcknowledged  Kind = "known"    // a target's drain or sign-off was acknowledged
	HeartbeatsStopped  Kind = "silent"   // a target's last heartbeat was sent; TTL is its own time-out
	ChangeSubmitted    Kind = "changed"  // an operator's change set, from Start to At
	ChangeQueried      Kind = "asked"    // an operator's query for a change set's outcome, from Start to At
	VersionedChange    Kind = "version"  // a change set under an operators' version, from Start to At
	ConfigurationRead  Kind = "readback" // the versioned configuration as read back, from Start to At
	FinalConfiguration Kind = "inforce"  // the configuration at the end, its routes in Names
	CoordinationCall   Kind = "bonded"   // a call on locks, counters or keys, from Start to At
	WatchResponse      Kind = "watched"  // the response to a watch of a prefix
	FollowResponse     Kind = "followed" // the response to a follower of a space
	ProxyStarted       Kind = "alive"    // a proxy's process was started
	ProxyContact       Kind = "touch"    // a proxy is in contact with the fleet from At on, or out of it
	FaultInjected      Kind = "hurt"     // a fault was done to the fleet; Note tells which
	PlannedStop        Kind = "planned"  // a planned stop began
	PlannedStopsOnly   Kind = "harmless" // the scenario holds no faults but planned stops
	Recovery           Kind = "rescue"   // all machines were back at Start, and the fleet usable at At
	ReplicaDivergence  Kind = "differ"   // a node found that replicas contradict one another
	TrafficSent        Kind = "sent"     // the bytes that all nodes had sent by At, by kind of message
)

// Outcomes of records. A request's own outcome is one of the first five.
const (
	OutcomeRan       = "ran"     // it was executed, or is known to have been
	OutcomeNotRun    = "not run" // it was not executed and never will be
	OutcomeUnknown   = "unknown" // nobody can say
	OutcomeBroken    = "broken"  // the connection broke without an answer
	OutcomeAbandoned = "gone"    // the client went away itself

	OutcomeDone    = "done"    // a coordination call was carried out
	OutcomeRefused = "refused" // a call or a change was refused, and changed nothing
	OutcomeTooOld  = "too old" // a watch was told that its events are no longer kept

	OutcomeAccepted = "accepted" // a change is in an epoch
	OutcomeAbsent   = "absent"   // a change is in no epoch

	OutcomeUsable    = "usable" // of a recovery
	OutcomeInContact = "in"     // of a proxy
)

// Record is one line of a history. Times are since its beginning; which of the other fields
// are set depends on the kind.
type Record struct {
	Kind  Kind          `json:"kind"`
	At    time.Duration `json:"at"`
	Start time.Duration `json:"start,omitempty"`
	// Received is when the machine of the server received the first bytes of the request, as its
	// kernel tells. No rule goes by it: it splits a late arrival into its parts.
	Received time.Duration `json:"received,omitempty"`

	// Requests through a proxy. CallID is the client's own and the same in a retry;
	// RequestID names one request of the proxy.
	CallID        string `json:"call,omitempty"`
	RequestID     string `json:"request,omitempty"` // or the ID of a coordination call
	Proxy         string `json:"proxy,omitempty"`
	Service       string `json:"service,omitempty"` // for which it was sent
	ServerService string `json:"owner,omitempty"`   // to which the server belongs
	Instance      string `json:"instance,omitempty"`
	Address       string `json:"address,omitempty"`
	Path          string `json:"mapping,omitempty"`

	// Changes of the configuration.
	Epoch     uint64 `json:"epoch,omitempty"` // also the one that a request was served by
	BaseEpoch uint64 `json:"base,omitempty"`

	// Responses.
	Status     int    `json:"status,omitempty"`
	Code       int    `json:"code,omitempty"`
	Outcome    string `json:"outcome,omitempty"`
	RetryAfter string `json:"retry_after,omitempty"`
	Digest     string `json:"digest,omitempty"` // of a body or a value
	Idempotent bool   `json:"repeatable,omitempty"`
	IsRetry    bool   `json:"repeat,omitempty"`
	Invalid    bool   `json:"invalid,omitempty"` // the change must be refused
	AtMostOnce bool   `json:"once,omitempty"`    // a retry must not be executed again
	Note       string `json:"note,omitempty"`

	// Coordination calls, watches and versions.
	Names         []string      `json:"names,omitempty"`
	Op            string        `json:"op,omitempty"`
	Name          string        `json:"name,omitempty"`
	Holder        string        `json:"holder,omitempty"`
	Revision      uint64        `json:"stamp,omitempty"` // index, revision or version, by the kind
	FencingToken  uint64        `json:"fence,omitempty"`
	Count         int64         `json:"count,omitempty"`
	Delta         int64         `json:"delta,omitempty"`
	TTL           time.Duration `json:"ttl,omitempty"`
	Revisions     []uint64      `json:"stamps,omitempty"`
	From          uint64        `json:"from,omitempty"`
	IsConditional bool          `json:"is_if,omitempty"`  // From is the revision that the key must have
	ReplacesAll   bool          `json:"whole,omitempty"`  // the change set replaces the configuration
	PerAttempt    bool          `json:"is_try,omitempty"` // the outcome holds for this attempt alone

	// Destinations is where a change set leads each path: services with commas between
	// them, or nothing if the path is dropped.
	Destinations map[string]string `json:"lead,omitempty"`
	SentBytes    map[string]int64  `json:"sent,omitempty"`
}

// arrival is when a request came to the server that executed it.
func (r *Record) arrival() time.Duration {
	if r.Start > 0 {
		return r.Start
	}
	return r.At
}

// History collects records. It may be used by many goroutines.
type History struct {
	startedAt time.Time

	mu      sync.Mutex // guards records and writes to out
	records []Record
	out     io.Writer
}

// NewHistory begins a history. Its records are also written to out, unless that is nil.
func NewHistory(out io.Writer) *History { return &History{startedAt: time.Now(), out: out} }

// JoinHistory returns a part of a history that another process of this machine began.
func JoinHistory(startedAt time.Time) *History {
	now := time.Now()
	return &History{startedAt: now.Add(-now.Sub(startedAt))}
}

// StartedAt is when the history began.
func (h *History) StartedAt() time.Time { return h.startedAt }

// Now returns the time since the history began.
func (h *History) Now() time.Duration { return time.Since(h.startedAt) }

// Add appends a record. If At is zero, the record is of now.
func (h *History) Add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.At == 0 {
		r.At = h.Now()
	}
	h.records = append(h.records, r)
	if h.out != nil {
		line, _ := json.Marshal(r) // a record of strings and numbers can't fail
		h.out.Write(append(line, '\n'))
	}
}

// Merge takes in the records of another process, each where its time puts it. They are not written
// to out, where they would stand behind later ones; WriteRecords writes them all.
func (h *History) Merge(records []Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, records...)
	slices.SortStableFunc(h.records, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
}

// WriteRecords writes all records, one a line.
func (h *History) WriteRecords(out io.Writer) error {
	encoder := json.NewEncoder(out)
	for _, r := range h.Records() {
		if err := encoder.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// Records returns a copy of all records.
func (h *History) Records() []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Record(nil), h.records...)
}

// maxLineBytes bounds one record of a recorded history.
const maxLineBytes = 16 << 20

// ReadHistory reads the records of a recorded history. A line that can't be read is an
// InvalidCall that names it.
func ReadHistory(path string) ([]Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errcode.New(errcode.InvalidCall, "%v", err)
	}
	defer file.Close()
	var records []Record
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var r Record
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, errcode.New(errcode.InvalidCall, "line %d: %v", len(records)+1, err)
		}
		records = append(records, r)
	}
	return records, lines.Err()
}
