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

// Kind is the kind of event that a record describes.
type Kind string

// Kinds of records. Records of requests and calls last from Start to At.
const (
	ScenarioStarted    Kind = "began"    // Note names the scenario
	ScenarioEnded      Kind = "ended"    // the scenario is over, and the records of all clients and servers are complete
	RequestCompleted   Kind = "called"   // a client's request, from Start to At
	RequestExecuted    Kind = "ran"      // a server executed a request; Start, if set, is its arrival
	RequestRejected    Kind = "reached"  // a server received a request and rejected it
	DrainAcknowledged  Kind = "known"    // a target's draining or leaving was acknowledged
	HeartbeatsStopped  Kind = "silent"   // a target sent its last heartbeat; TTL is its failure timeout, if set
	ChangeSubmitted    Kind = "changed"  // an operator's change set, from Start to At
	ChangeQueried      Kind = "asked"    // an operator's query for a change set's outcome, from Start to At
	VersionedChange    Kind = "version"  // a change set with an operator's version number, from Start to At
	ConfigurationRead  Kind = "readback" // a read of the versioned configuration, from Start to At
	FinalConfiguration Kind = "inforce"  // the configuration at the end; Names lists its routes
	CoordinationCall   Kind = "bonded"   // a call on locks, counters or keys, from Start to At
	WatchResponse      Kind = "watched"  // the response to a watch of a prefix
	FollowResponse     Kind = "followed" // the response to a follower of a space
	ProxyStarted       Kind = "alive"    // a proxy's process was started
	ProxyContact       Kind = "touch"    // a proxy gained or lost contact with the fleet at At
	FaultInjected      Kind = "hurt"     // a fault was injected; Note describes it
	PlannedStop        Kind = "planned"  // a planned stop began
	PlannedStopsOnly   Kind = "harmless" // the scenario has no faults other than planned stops
	Recovery           Kind = "rescue"   // all machines were restored at Start; the fleet was usable at At, or the wait for that ended
	ReplicaDivergence  Kind = "differ"   // a node detected that replicas differ
	TrafficSent        Kind = "sent"     // total bytes sent by all nodes up to At, by kind of message
)

// Outcomes of records. The outcome of a request is one of the first five.
const (
	OutcomeRan       = "ran"     // the request was executed, now or by an earlier attempt
	OutcomeNotRun    = "not run" // the request was not executed and never will be
	OutcomeUnknown   = "unknown" // the request may or may not have been executed
	OutcomeBroken    = "broken"  // the connection failed before a complete response
	OutcomeAbandoned = "gone"    // the client closed the connection

	OutcomeDone    = "done"    // a coordination call was executed
	OutcomeRefused = "refused" // a call or a change set was refused and had no effect
	OutcomeTooOld  = "too old" // the requested events are no longer retained

	OutcomeAccepted = "accepted" // the change set is part of an epoch
	OutcomeAbsent   = "absent"   // the change set is part of no epoch

	OutcomeUsable    = "usable" // the fleet is usable again
	OutcomeInContact = "in"     // the proxy gained contact with the fleet
)

// Record is one line of a history. Times are relative to the start of the history. The kind
// determines which other fields are set.
type Record struct {
	Kind  Kind          `json:"kind"`
	At    time.Duration `json:"at"`
	Start time.Duration `json:"start,omitempty"`
	// Received is when the server's kernel received the first bytes of the request. No rule uses
	// it. It separates network delay from delay in the server process when a request is late.
	Received time.Duration `json:"received,omitempty"`

	// Requests through a proxy. The client chooses CallID and keeps it in a retry; RequestID
	// identifies one request at the proxy.
	CallID        string `json:"call,omitempty"`
	RequestID     string `json:"request,omitempty"` // also the ID of a coordination call
	Proxy         string `json:"proxy,omitempty"`
	Service       string `json:"service,omitempty"` // the service that the request is for
	ServerService string `json:"owner,omitempty"`   // the service that the server belongs to
	Instance      string `json:"instance,omitempty"`
	Address       string `json:"address,omitempty"`
	Path          string `json:"mapping,omitempty"`

	// Changes of the configuration.
	Epoch     uint64 `json:"epoch,omitempty"` // also the epoch that a request was served under
	BaseEpoch uint64 `json:"base,omitempty"`

	// Responses.
	Status     int    `json:"status,omitempty"`
	Code       int    `json:"code,omitempty"`
	Outcome    string `json:"outcome,omitempty"`
	RetryAfter string `json:"retry_after,omitempty"`
	Digest     string `json:"digest,omitempty"` // of a body or a value
	Idempotent bool   `json:"repeatable,omitempty"`
	IsRetry    bool   `json:"repeat,omitempty"`
	Invalid    bool   `json:"invalid,omitempty"` // the change set must be refused
	AtMostOnce bool   `json:"once,omitempty"`    // the route executes a call at most once, retries included
	Note       string `json:"note,omitempty"`

	// Coordination calls, watches and versions.
	Names         []string      `json:"names,omitempty"`
	Op            string        `json:"op,omitempty"`
	Name          string        `json:"name,omitempty"`
	Holder        string        `json:"holder,omitempty"`
	Revision      uint64        `json:"stamp,omitempty"` // index, revision or version, depending on the kind
	FencingToken  uint64        `json:"fence,omitempty"`
	Count         int64         `json:"count,omitempty"`
	Delta         int64         `json:"delta,omitempty"`
	TTL           time.Duration `json:"ttl,omitempty"`
	Revisions     []uint64      `json:"stamps,omitempty"`
	From          uint64        `json:"from,omitempty"`
	IsConditional bool          `json:"is_if,omitempty"`  // the write succeeds only if the key has revision From
	ReplacesAll   bool          `json:"whole,omitempty"`  // the change set replaces the whole configuration
	PerAttempt    bool          `json:"is_try,omitempty"` // the outcome describes only this attempt, not the call

	// Destinations maps each path of a change set to a comma-separated list of services, empty
	// if the path is removed. In a ConfigurationRead, it maps change sets to their digests.
	Destinations map[string]string `json:"lead,omitempty"`
	SentBytes    map[string]int64  `json:"sent,omitempty"`
}

// arrival returns when a request arrived at the server that executed it.
func (r *Record) arrival() time.Duration {
	if r.Start > 0 {
		return r.Start
	}
	return r.At
}

// History collects records. It is safe for concurrent use.
type History struct {
	startedAt time.Time

	mu      sync.Mutex // guards records and writes to out
	records []Record
	out     io.Writer
}

// NewHistory starts a history. If out is not nil, each added record is also written to it.
func NewHistory(out io.Writer) *History { return &History{startedAt: time.Now(), out: out} }

// JoinHistory returns a history with the time base of one that another process of this machine
// started, so that their records can be merged.
func JoinHistory(startedAt time.Time) *History {
	now := time.Now()
	return &History{startedAt: now.Add(-now.Sub(startedAt))}
}

// StartedAt returns when the history was started.
func (h *History) StartedAt() time.Time { return h.startedAt }

// Now returns the time since the start of the history.
func (h *History) Now() time.Duration { return time.Since(h.startedAt) }

// Add appends a record. If At is zero, it is set to the current time.
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

// Merge inserts the records of another process in order of time. It does not write them to out,
// where they would follow later records; WriteRecords writes all records in order.
func (h *History) Merge(records []Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, records...)
	slices.SortStableFunc(h.records, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
}

// WriteRecords writes all records as JSON lines.
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

// maxLineBytes is the size limit of one record in a recorded history.
const maxLineBytes = 16 << 20

// ReadHistory reads the records of a recorded history. It returns an InvalidCall error if the
// file can't be opened or a line can't be decoded; the error contains the line's number.
func ReadHistory(path string) ([]Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errcode.New(errcode.InvalidCall, "%v", err)
	}
	defer file.Close()
	var records []Record
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var r Record
		if err := json.Unmarshal(scanner.Bytes(), &r); err != nil {
			return nil, errcode.New(errcode.InvalidCall, "line %d: %v", len(records)+1, err)
		}
		records = append(records, r)
	}
	return records, scanner.Err()
}
