package coordination

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// spaceOf returns the space of a name, the part before its first slash. Each space has a
// revision, which increases by one with each set, so a follower can detect a missed set. The
// indexes of the shard's log increase with every entry and can't show that.
func spaceOf(name string) string {
	space, _, _ := strings.Cut(name, "/")
	return space
}

// requestIDForSet returns the ID under which the response to a set is kept. It depends on the
// name and the request's ID, not on the condition. A set without an ID is never a repeat.
func requestIDForSet(request *rpc.CoordinationRequest) string {
	sum := sha256.Sum256([]byte(request.Name + "\x00" + request.ID))
	return "set/" + hex.EncodeToString(sum[:16])
}

// set writes a key with the next revision of its space. If the request has an IfRevision, the
// key's current revision must equal it; zero means that the key must not exist.
func (s *Store) set(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	current, ok := s.records[KindKey][request.Name]
	if request.IfRevision != nil && (*request.IfRevision != current.Revision || ok && *request.IfRevision == 0) {
		return reject(errcode.RevisionMismatch, current)
	}
	revision := s.nextRevision(index, spaceOf(request.Name))
	s.putRecord(rpc.CoordinationRecord{Name: request.Name, Kind: KindKey, Value: request.Value, Revision: revision, Index: index}, request.Value)
	return &rpc.CoordinationResponse{Index: index, Revision: revision}
}

// nextRevision increments the revision of a space and returns it.
func (s *Store) nextRevision(index ids.Index, space string) ids.Index {
	count := s.records[KindSpace][space].Count + 1
	s.records.put(rpc.CoordinationRecord{Name: space, Kind: KindSpace, Count: count, Index: index})
	return ids.Index(count)
}

// RevisionsSince returns at most limit sets of a space after a revision, and the revision to
// resume from. complete is false if there is a gap after that revision: sets were dropped, or
// the space's revision on this replica was repaired.
func (s *Store) RevisionsSince(space string, after ids.Index, limit int) (events []rpc.WatchEvent, next ids.Index, complete bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	lastRevision := ids.Index(s.records[KindSpace][space].Count)
	if after == 0 || lastRevision <= after {
		return nil, max(lastRevision, after), true
	}
	log := &s.events
	if after < log.compactedRevisions[space] {
		return nil, lastRevision, false
	}
	isSetInSpace := func(event *rpc.WatchEvent) bool { return event.Revision > 0 && spaceOf(event.Name) == space }
	first := len(log.events)
	for i := first - 1; i >= 0; i-- {
		if event := &log.events[i]; isSetInSpace(event) {
			if event.Revision <= after {
				break
			}
			first = i
		}
	}
	for _, event := range log.events[first:] {
		if !isSetInSpace(&event) {
			continue
		}
		if event.Revision != after+ids.Index(len(events))+1 {
			return nil, lastRevision, false
		}
		if events = append(events, event); len(events) == limit {
			return events, event.Revision, true
		}
	}
	return events, lastRevision, after+ids.Index(len(events)) == lastRevision
}
