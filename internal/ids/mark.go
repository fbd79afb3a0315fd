// Package mark holds the small types that everything else is told apart by:
// names, births, parts, terms, stamps, epochs. A Term orders owners of a part
// (round first, then node name); a Stamp is an index in a part's log; an Epoch
// numbers the whole plan and only grows.
package ids

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"strings"
)

type (
	NodeName string
	MemberID string
	Shard    int
	Index    uint64
	Epoch    uint64

	// Version is the operators' own number of a configuration; it only grows.
	Version uint64
)

// ShardCount is the number of data parts; the configuration part comes after them.
const (
	ShardCount  = 16
	ConfigShard = Shard(ShardCount)
)

type Term struct {
	Number uint64   `json:"round"`
	Node   NodeName `json:"node"`
}

func (t Term) Less(other Term) bool {
	if t.Number != other.Number {
		return t.Number < other.Number
	}
	return t.Node < other.Node
}

func (t Term) String() string { return fmt.Sprintf("%d.%s", t.Number, t.Node) }

func NewMemberID() MemberID { return MemberID(NewID()) }

func NewID() string {
	raw := make([]byte, 8)
	if _, err := rand.Read(raw); err != nil {
		panic(err)
	}
	return hex.EncodeToString(raw)
}

// ShardOf hashes the space of a name, which is what stands before its first
// slash, so that a space lies whole in one part and can be watched there.
func ShardOf(name string) Shard {
	space, _, _ := strings.Cut(name, "/")
	return Shard(Hash(space) % ShardCount)
}

// Hash is the project's one hash for placement.
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
