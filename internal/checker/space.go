package checker

import (
	"math"
	"sort"
	"strings"
	"time"
)

// spaceHistory is the sets in one space.
type spaceHistory struct {
	byRevision map[uint64]Record // acknowledged sets
	inOrder    []Record          // the same by revision; two of one revision both
	possible   map[string]bool   // request IDs of sets that were done, or may have been
}

// spaceRevisions: the revisions of a space do not rise by one, or two sets get the same; a
// set on condition of a revision succeeds over a later one; or reads and followers do not see
// what was set, in order and without a gap. That a repeated set gets its first response is
// checked by exactlyOnceCalls.
func spaceRevisions(records []Record, report reporter) {
	spaces := spacesOf(records, report)
	for name, space := range spaces {
		space.checkOrder(report)
		space.checkConditions(report)
		if last := len(space.inOrder) - 1; last >= 0 && space.inOrder[last].Revision > uint64(len(space.possible)) {
			top := space.inOrder[last]
			report(top.At, "revision %d of %s was given; there were at most %d sets", top.Revision, name, len(space.possible))
		}
	}
	checkFollowers(records, spaces, report)
	for _, r := range ofKind(records, CoordinationCall) {
		if space := spaces[spaceOf(r.Name)]; r.Op == "look" && r.Outcome == OutcomeDone && space != nil {
			space.checkRead(r, report)
		}
	}
}

func spaceOf(name string) string {
	space, _, _ := strings.Cut(name, "/")
	return space
}

// spacesOf collects the sets by space, and reports two that got one revision. A set that was
// repeated lasts from its first attempt to its first acknowledgment.
func spacesOf(records []Record, report reporter) map[string]*spaceHistory {
	spaces := map[string]*spaceHistory{}
	done, firstSent := map[string]Record{}, map[string]time.Duration{}
	for _, r := range ofKind(records, CoordinationCall) {
		if r.Op != "set" {
			continue
		}
		if at, ok := firstSent[r.RequestID]; !ok || r.Start < at {
			firstSent[r.RequestID] = r.Start
		}
		name := spaceOf(r.Name)
		if spaces[name] == nil {
			spaces[name] = &spaceHistory{byRevision: map[uint64]Record{}, possible: map[string]bool{}}
		}
		if r.Outcome != OutcomeRefused {
			spaces[name].possible[r.RequestID] = true
		}
		if earlier, ok := done[r.RequestID]; r.Outcome == OutcomeDone && (!ok || r.At < earlier.At) {
			done[r.RequestID] = r
		}
	}
	for _, r := range done {
		r.Start = firstSent[r.RequestID]
		space := spaces[spaceOf(r.Name)]
		if other, ok := space.byRevision[r.Revision]; ok {
			report(r.At, "%s set to %s and %s set to %s got one revision, %d", other.Name, other.Digest, r.Name, r.Digest, r.Revision)
		}
		space.byRevision[r.Revision] = r
		space.inOrder = append(space.inOrder, r)
	}
	for _, space := range spaces {
		list := space.inOrder
		sort.Slice(list, func(i, j int) bool { return list[i].Revision < list[j].Revision })
	}
	return spaces
}

// checkOrder reports each set that was sent after a later revision was acknowledged.
func (s *spaceHistory) checkOrder(report reporter) {
	acknowledged := time.Duration(math.MaxInt64) // the first acknowledgment of a later revision
	for i := len(s.inOrder) - 1; i >= 0; i-- {
		r := s.inOrder[i]
		if acknowledged < r.Start {
			report(r.At, "%s got revision %d, and a later one was acknowledged at %s, before it was sent", r.Name, r.Revision, acknowledged)
		}
		acknowledged = min(acknowledged, r.At)
	}
}

func (s *spaceHistory) checkConditions(report reporter) {
	for _, r := range s.inOrder {
		for _, other := range s.inOrder {
			if r.IsConditional && other.Name == r.Name && other.Revision > r.From && other.Revision < r.Revision {
				report(r.At, "%s was set at revision %d on condition of revision %d, and %d lies between", r.Name, r.Revision, r.From, other.Revision)
			}
		}
	}
}

func (s *spaceHistory) checkRead(read Record, report reporter) {
	for _, set := range s.inOrder {
		if set.Name == read.Name && set.At < read.Start && set.Revision > read.Revision {
			report(read.At, "%s was read at revision %d, and %d was acknowledged at %s", read.Name, read.Revision, set.Revision, set.At)
		}
	}
	if set, ok := s.byRevision[read.Revision]; ok && (set.Name != read.Name || set.Digest != read.Digest) {
		report(read.At, "%s was read as %s at revision %d, where %s was set to %s", read.Name, read.Digest, read.Revision, set.Name, set.Digest)
	}
}

// checkFollowers reports each response to a follower that does not go on without a gap, or
// that tells of a revision otherwise than another response or the set itself.
func checkFollowers(records []Record, spaces map[string]*spaceHistory, report reporter) {
	notified := map[string]map[uint64]string{} // by space and revision: the key and its value
	for _, r := range ofKind(records, FollowResponse) {
		name := strings.TrimSuffix(r.Name, "/")
		space := spaces[name]
		if space == nil {
			space = &spaceHistory{}
		}
		if notified[name] == nil {
			notified[name] = map[uint64]string{}
		}
		if set, ok := space.byRevision[r.From+1]; r.Outcome == OutcomeTooOld && ok && r.Start-set.At < youngEvent {
			report(r.At, "a follower of %s from %d was told too old; the next is young", r.Name, r.From)
		}
		if r.Outcome != OutcomeDone {
			continue
		}
		if r.Revision < r.From || r.Revision != r.From+uint64(len(r.Revisions)) {
			report(r.At, "a follower of %s from %d got %d sets and is to go on from %d", r.Name, r.From, len(r.Revisions), r.Revision)
		}
		for i, revision := range r.Revisions {
			event := r.Names[i]
			if revision != r.From+uint64(i)+1 {
				report(r.At, "a follower of %s from %d was told of %d as number %d", r.Name, r.From, revision, i+1)
			}
			if earlier, ok := notified[name][revision]; ok && earlier != event {
				report(r.At, "revision %d of %s was told as %s and as %s", revision, name, earlier, event)
			}
			notified[name][revision] = event
			if set, ok := space.byRevision[revision]; ok && set.Name+" "+set.Digest != event {
				report(r.At, "revision %d of %s was told as %s; %s was set to %s", revision, name, event, set.Name, set.Digest)
			}
			if _, id, _ := strings.Cut(event, " "); !space.possible[id] {
				report(r.At, "revision %d of %s was told as %s, which was never set, or refused", revision, name, event)
			}
		}
	}
}
