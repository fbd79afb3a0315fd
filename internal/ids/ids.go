// Package ids defines the identifiers used across the fleet: node names, member IDs, shards,
// terms, log indexes, epochs and configuration versions.
package ids

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"strings"
)

// NodeName is a node's permanent name, unique in the fleet.
type NodeName string

// MemberID is a node's random ID. It is kept as long as the node's data folder, or as long as
// its process if it has no data folder. A node with the same name and another member ID is
// another member.
type MemberID string

// Shard is the number of a replicated state machine: the data shards from 0, then ConfigShard.
type Shard int

// Index is the position of an entry in a shard's log, starting at 1.
type Index uint64

// Epoch is the number of a complete state from which proxies serve. It only increases.
type Epoch uint64

// Version is the number that operators assign to a configuration. It only increases.
type Version uint64

const (
	// ShardCount is the number of data shards.
	ShardCount = 16
	// ConfigShard is the shard of the configuration.
	ConfigShard = Shard(ShardCount)
)

// Term is a leader's term of a shard, as in Raft. Terms are ordered by number and then by the
// leader's name, which makes each term unique to one leader.
type Term struct {
	Number uint64   `json:"round"`
	Node   NodeName `json:"node"`
}

// Less reports whether t is earlier than other.
func (t Term) Less(other Term) bool {
	if t.Number != other.Number {
		return t.Number < other.Number
	}
	return t.Node < other.Node
}

// String returns the term in the form "number.name", as in log lines.
func (t Term) String() string { return fmt.Sprintf("%d.%s", t.Number, t.Node) }

// NewMemberID returns a random member ID.
func NewMemberID() MemberID { return MemberID(NewID()) }

// NewID returns 64 random bits in hexadecimal.
func NewID() string {
	raw := make([]byte, 8)
	if _, err := rand.Read(raw); err != nil {
		panic(err)
	}
	return hex.EncodeToString(raw)
}

// ShardOf returns the shard of a name, by the hash of its space: the part before the first
// slash. All names of a space are in one shard, so the space can be watched there.
func ShardOf(name string) Shard {
	space, _, _ := strings.Cut(name, "/")
	return Shard(Hash(space) % ShardCount)
}

// Hash returns the hash used for placement: FNV-1a over the parts, each followed by a zero byte,
// with the finalizer of MurmurHash3. The result must be the same in every build.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
