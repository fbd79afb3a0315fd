package coordination

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// spaceOf returns what stands before the first slash of a name. A space counts its own
// revisions: they rise by one with each set, so a follower sees that it missed none. The
// indexes of the shard's log rise with every entry and say nothing on gaps.
func spaceOf(name string) string {
	space, _, _ := strings.Cut(name, "/")
	return space
}

// setRequestID is what a set under an ID is remembered by: its name and that ID, whatever
// revision it names as its condition. A set without an ID is never a repeat.
func setRequestID(request *rpc.CoordinationRequest) string {
	sum := sha256.Sum256([]byte(request.Name + "\x00" + request.ID))
	return "set/" + hex.EncodeToString(sum[:16])
}

// set writes a key under the next revision of its space. On a condition it is done only if
// the key's revision is the one named; zero demands that there is no such key.
func (s *Store) set(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	current, ok := s.records[KindKey][request.Name]
	if request.IfRevision != nil && (*request.IfRevision != current.Revision || ok && *request.IfRevision == 0) {
		return reject(errcode.RevisionMismatch, current)
	}
	revision := s.nextRevision(index, spaceOf(request.Name))
	s.putRecord(rpc.CoordinationRecord{Name: request.Name, Kind: KindKey, Value: request.Value, Revision: revision, Index: index}, request.Value)
	return &rpc.CoordinationResponse{Index: index, Revision: revision}
}

// nextRevision counts one more set in a space.
func (s *Store) nextRevision(index ids.Index, space string) ids.Index {
	count := s.records[KindSpace][space].Count + 1
	s.records.put(rpc.CoordinationRecord{Name: space, Kind: KindSpace, Count: count, Index: index})
	return ids.Index(count)
}

// RevisionsSince returns at most limit sets of a space after a revision, and the revision
// to resume from. It is not complete if the sets do not follow that revision without a
// gap: they were dropped, or this replica's count was repaired.
func (s *Store) RevisionsSince(space string, after ids.Index, limit int) (events []rpc.WatchEvent, next ids.Index, complete bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	last := ids.Index(s.records[KindSpace][space].Count)
	if after == 0 || last <= after {
		return nil, max(last, after), true
	}
	log := &s.events
	if after < log.compactedRevisions[space] {
		return nil, last, false
	}
	isSet := func(event *rpc.WatchEvent) bool { return event.Revision > 0 && spaceOf(event.Name) == space }
	first := len(log.events)
	for i := first - 1; i >= 0; i-- {
		if event := &log.events[i]; isSet(event) {
			if event.Revision <= after {
				break
			}
			first = i
		}
	}
	for _, event := range log.events[first:] {
		if !isSet(&event) {
			continue
		}
		if event.Revision != after+ids.Index(len(events))+1 {
			return nil, last, false
		}
		if events = append(events, event); len(events) == limit {
			return events, event.Revision, true
		}
	}
	return events, last, after+ids.Index(len(events)) == last
}
