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
	Began    = "began"    // the scenario; Note names it
	Ended    = "ended"    // the scenario ended, all stand-ins were heard out
	Called   = "called"   // a caller's request, from Start to At
	Ran      = "ran"      // a server ran a request at At
	Known    = "known"    // a target's drain or sign-off was acknowledged at At
	Silent   = "silent"   // a target's last beat was sent at At, then it was gone
	Changed  = "changed"  // an operator's change set, from Start to At
	Asked    = "asked"    // an operator asked by id, from Start to At
	Bonded   = "bonded"   // a coordination call, from Start to At
	Watched  = "watched"  // a watch's receipt
	Rescue   = "rescue"   // all machines are back at At; usable again by Start
	Planned  = "planned"  // a planned stop began at At
	InForce  = "inforce"  // the configuration at the end, mapping names in Names
	Alive    = "alive"    // a proxy's process was started
	Differ   = "differ"   // a node found that copies contradict one another
	Harmless = "harmless" // the scenario holds planned stops only
	Reached  = "reached"  // a request reached a server, which turned it away
	Touch    = "touch"    // a proxy is in touch from At on, or out of it
	Followed = "followed" // a follower's receipt
	Version  = "version"  // a change set with an operators' version, from Start to At
	ReadBack = "readback" // the configuration as read back, from Start to At
	Hurt     = "hurt"     // a fault was done to the fleet at At; Note tells which
	Sent     = "sent"     // the bytes that all nodes had sent by At, by kind
)

// Record is one line of a history; times are since its beginning.
type Record struct {
	Kind       string        `json:"kind"`
	At         time.Duration `json:"at"`
	Start      time.Duration `json:"start,omitempty"`
	Call       string        `json:"call,omitempty"`
	Request    string        `json:"request,omitempty"`
	Proxy      string        `json:"proxy,omitempty"`
	Service    string        `json:"service,omitempty"`
	Owner      string        `json:"owner,omitempty"`
	Instance   string        `json:"instance,omitempty"`
	Address    string        `json:"address,omitempty"`
	Mapping    string        `json:"mapping,omitempty"`
	Epoch      uint64        `json:"epoch,omitempty"`
	Base       uint64        `json:"base,omitempty"`
	Status     int           `json:"status,omitempty"`
	Code       int           `json:"code,omitempty"`
	Outcome    string        `json:"outcome,omitempty"`
	RetryAfter string        `json:"retry_after,omitempty"`
	Digest     string        `json:"digest,omitempty"`
	Repeatable bool          `json:"repeatable,omitempty"`
	Repeat     bool          `json:"repeat,omitempty"`
	Invalid    bool          `json:"invalid,omitempty"`
	Once       bool          `json:"once,omitempty"`
	Note       string        `json:"note,omitempty"`
	Names      []string      `json:"names,omitempty"`
	Op         string        `json:"op,omitempty"`
	Name       string        `json:"name,omitempty"`
	Holder     string        `json:"holder,omitempty"`
	Stamp      uint64        `json:"stamp,omitempty"`
	Fence      uint64        `json:"fence,omitempty"`
	Count      int64         `json:"count,omitempty"`
	Delta      int64         `json:"delta,omitempty"`
	Ttl        time.Duration `json:"ttl,omitempty"`
	Stamps     []uint64      `json:"stamps,omitempty"`
	From       uint64        `json:"from,omitempty"`
	IsIf       bool          `json:"is_if,omitempty"` // From is the stamp that the key must have
	IsWhole    bool          `json:"whole,omitempty"`
	IsTry      bool          `json:"is_try,omitempty"` // what is said holds for the try alone
	// Lead is where a change set leads each path: services with commas between
	// them, or nothing if the path is dropped.
	Lead map[string]string `json:"lead,omitempty"`
	Sent map[string]int64  `json:"sent,omitempty"`
}

// History is what was recorded so far.
type History struct {
	mu      sync.Mutex
	began   time.Time
	records []Record
	out     io.Writer
}

func New(out io.Writer) *History { return &History{began: time.Now(), out: out} }

// Now is the history's clock.
func (h *History) Now() time.Duration { return time.Since(h.began) }

// Add appends a record; At is filled in if it is zero.
func (h *History) Add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.At == 0 {
		r.At = time.Since(h.began)
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

// Read takes a recorded history from a file.
func Read(path string) ([]Record, error) {
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
