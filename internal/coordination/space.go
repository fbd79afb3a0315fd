// Spaces: what stands before the first slash of a name has a count of its own,
// which rises by one with each set, so that a key's revision says how the sets of
// its space follow one another and a follower sees that it missed none.
package coordination

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func spaceOf(name string) string {
	space, _, _ := strings.Cut(name, "/")
	return space
}

// setRequestID is what a set under an id is known by: its name and that id, so that a
// repeat is known for one whatever revision it names. Without an id a set is never
// a repeat: a value may be set again.
func setRequestID(op *rpc.CoordinationRequest) string {
	sum := sha256.Sum256([]byte(op.Name + "\x00" + op.ID))
	return "set/" + hex.EncodeToString(sum[:16])
}

// nextRevision counts one more set in a space.
func (b *Store) nextRevision(index ids.Index, space string) ids.Index {
	count := b.recordsOf(KindSpace)[space].Count + 1
	b.recordsOf(KindSpace)[space] = rpc.CoordinationRecord{Name: space, Kind: KindSpace, Count: count, Index: index}
	return ids.Index(count)
}

// RevisionsSince is the sets of a space after a revision, and the revision to go on from.
// They must follow it without a gap, also on a copy whose count was mended.
func (b *Store) RevisionsSince(space string, from ids.Index, most int) (list []rpc.WatchEvent, rev ids.Index, isKept bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	rev = ids.Index(b.records[KindSpace][space].Count)
	if from == 0 || rev <= from {
		return nil, max(rev, from), true
	}
	if from < b.compactedRevisions[space] {
		return nil, rev, false
	}
	at := len(b.events)
	for i := at - 1; i >= 0; i-- {
		if e := &b.events[i]; e.Revision > 0 && spaceOf(e.Name) == space {
			if e.Revision <= from {
				break
			}
			at = i
		}
	}
	for _, e := range b.events[at:] {
		if e.Revision == 0 || spaceOf(e.Name) != space {
			continue
		}
		if e.Revision != from+ids.Index(len(list))+1 {
			return nil, rev, false
		}
		if list = append(list, e); len(list) == most {
			return list, e.Revision, true
		}
	}
	return list, rev, from+ids.Index(len(list)) == rev
}
