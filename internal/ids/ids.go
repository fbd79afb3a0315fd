// Package ids holds the small types that identify things across the fleet: nodes and their
// lives, shards, terms, log indexes, epochs and configuration versions.
package ids

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"strings"
)

// NodeName is a node's lasting name, unique in the fleet.
type NodeName string

// MemberID is the random number of one life of a node: of its data folder, or of its process
// if it has none. The same name with another member ID is another member.
type MemberID string

// Shard numbers the replicated state machines: the data shards from 0, then ConfigShard.
type Shard int

// Index is the place of an entry in a shard's log, from 1.
type Index uint64

// Epoch numbers the complete states by which proxies serve; it only grows.
type Epoch uint64

// Version is the operators' own number of a configuration; it only grows.
type Version uint64

const (
	// ShardCount is the number of data shards.
	ShardCount = 16
	// ConfigShard is the shard of the configuration; it comes after the data shards.
	ConfigShard = Shard(ShardCount)
)

// Term orders the leaders of a shard: by number, then by the leader's name (Raft's term, made
// unique by the name).
type Term struct {
	Number uint64   `json:"round"`
	Node   NodeName `json:"node"`
}

// Less reports whether t is below the other term.
func (t Term) Less(other Term) bool {
	if t.Number != other.Number {
		return t.Number < other.Number
	}
	return t.Node < other.Node
}

// String is the term as logs show it: number, dot, name.
func (t Term) String() string { return fmt.Sprintf("%d.%s", t.Number, t.Node) }

// NewMemberID draws a member ID at random.
func NewMemberID() MemberID { return MemberID(NewID()) }

// NewID draws 64 random bits, in hexadecimal.
func NewID() string {
	raw := make([]byte, 8)
	if _, err := rand.Read(raw); err != nil {
		panic(err)
	}
	return hex.EncodeToString(raw)
}

// ShardOf returns the shard of a name by the hash of its space, which is what stands before
// its first slash: a space lies in one shard as a whole and can be watched there.
func ShardOf(name string) Shard {
	space, _, _ := strings.Cut(name, "/")
	return Shard(Hash(space) % ShardCount)
}

// Hash is the hash for placement: FNV-1a over the words, each ended by a zero byte, with the
// finalizer of MurmurHash3. Every build must compute the same.
func Hash(words ...string) uint64 {
	h := fnv.New64a()
	for _, word := range words {
		h.Write([]byte(word))
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
