// Package checker records what happened to a fleet, as seen by the stand-ins at
// its edges, and judges the whole history by one checker for each thing that
// must never happen. A history is JSON lines, so a recorded one can be judged
// again. A checker that lacks what it needs says so, and that is a failure.
package checker

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// What a record tells of.
const (
	ScenarioStarted    = "began"    // the scenario; Note names it
	ScenarioEnded      = "ended"    // the scenario ended, all stand-ins were heard out
	RequestCompleted   = "called"   // a caller's request, from Start to At
	RequestExecuted    = "ran"      // a server ran a request at At
	DrainAcknowledged  = "known"    // a target's drain or sign-off was acknowledged at At
	HeartbeatsStopped  = "silent"   // a target's last beat was sent at At, then it was gone
	ChangeSubmitted    = "changed"  // an operator's change set, from Start to At
	ChangeQueried      = "asked"    // an operator asked by id, from Start to At
	CoordinationCall   = "bonded"   // a coordination call, from Start to At
	WatchResponse      = "watched"  // a watch's receipt
	Recovery           = "rescue"   // all machines are back at At; usable again by Start
	PlannedStop        = "planned"  // a planned stop began at At
	FinalConfiguration = "inforce"  // the configuration at the end, mapping names in Names
	ProxyStarted       = "alive"    // a proxy's process was started
	ReplicaDivergence  = "differ"   // a node found that copies contradict one another
	PlannedStopsOnly   = "harmless" // the scenario holds planned stops only
	RequestRejected    = "reached"  // a request reached a server, which turned it away
	ProxyContact       = "touch"    // a proxy is in touch from At on, or out of it
	FollowResponse     = "followed" // a follower's receipt
	VersionedChange    = "version"  // a change set with an operators' version, from Start to At
	ConfigurationRead  = "readback" // the configuration as read back, from Start to At
	FaultInjected      = "hurt"     // a fault was done to the fleet at At; Note tells which
	TrafficSent        = "sent"     // the bytes that all nodes had sent by At, by kind
)

// Record is one line of a history; times are since its beginning.
type Record struct {
	Kind          string        `json:"kind"`
	At            time.Duration `json:"at"`
	Start         time.Duration `json:"start,omitempty"`
	CallID        string        `json:"call,omitempty"`
	RequestID     string        `json:"request,omitempty"`
	Proxy         string        `json:"proxy,omitempty"`
	Service       string        `json:"service,omitempty"`
	ServerService string        `json:"owner,omitempty"`
	Instance      string        `json:"instance,omitempty"`
	Address       string        `json:"address,omitempty"`
	Path          string        `json:"mapping,omitempty"`
	Epoch         uint64        `json:"epoch,omitempty"`
	BaseEpoch     uint64        `json:"base,omitempty"`
	Status        int           `json:"status,omitempty"`
	Code          int           `json:"code,omitempty"`
	Outcome       string        `json:"outcome,omitempty"`
	RetryAfter    string        `json:"retry_after,omitempty"`
	Digest        string        `json:"digest,omitempty"`
	Idempotent    bool          `json:"repeatable,omitempty"`
	IsRetry       bool          `json:"repeat,omitempty"`
	Invalid       bool          `json:"invalid,omitempty"`
	AtMostOnce    bool          `json:"once,omitempty"`
	Note          string        `json:"note,omitempty"`
	Names         []string      `json:"names,omitempty"`
	Op            string        `json:"op,omitempty"`
	Name          string        `json:"name,omitempty"`
	Holder        string        `json:"holder,omitempty"`
	Revision      uint64        `json:"stamp,omitempty"`
	FencingToken  uint64        `json:"fence,omitempty"`
	Count         int64         `json:"count,omitempty"`
	Delta         int64         `json:"delta,omitempty"`
	TTL           time.Duration `json:"ttl,omitempty"`
	Revisions     []uint64      `json:"stamps,omitempty"`
	From          uint64        `json:"from,omitempty"`
	IsConditional bool          `json:"is_if,omitempty"` // From is the stamp that the key must have
	ReplacesAll   bool          `json:"whole,omitempty"`
	PerAttempt    bool          `json:"is_try,omitempty"` // what is said holds for the try alone
	// Destinations is where a change set leads each path: services with commas between
	// them, or nothing if the path is dropped.
	Destinations map[string]string `json:"lead,omitempty"`
	SentBytes    map[string]int64  `json:"sent,omitempty"`
}

// History is what was recorded so far.
type History struct {
	mu        sync.Mutex
	startedAt time.Time
	records   []Record
	out       io.Writer
}

func NewHistory(out io.Writer) *History { return &History{startedAt: time.Now(), out: out} }

// Now is the history's clock.
func (h *History) Now() time.Duration { return time.Since(h.startedAt) }

// Add appends a record; At is filled in if it is zero.
func (h *History) Add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.At == 0 {
		r.At = time.Since(h.startedAt)
	}
	h.records = append(h.records, r)
	if h.out != nil {
		raw, _ := json.Marshal(r)
		h.out.Write(append(raw, '\n'))
	}
}

// Records is a copy of all.
func (h *History) Records() []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Record(nil), h.records...)
}

// ReadHistory takes a recorded history from a file.
func ReadHistory(path string) ([]Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errcode.New(errcode.BadCall, "%v", err)
	}
	defer file.Close()
	var records []Record
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var r Record
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, errcode.New(errcode.BadCall, "line %d: %v", len(records)+1, err)
		}
		records = append(records, r)
	}
	return records, lines.Err()
}
