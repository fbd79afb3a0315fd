package checker

import (
	"math"
	"sort"
	"strings"
	"time"
)

// spaceHistory holds the sets in one space.
type spaceHistory struct {
	byRevision map[uint64]Record // acknowledged sets
	inOrder    []Record          // acknowledged sets sorted by revision, including duplicate revisions
	possible   map[string]bool   // request IDs of sets that were, or may have been, executed
}

// spaceRevisions reports revisions of a space that do not increase by one or are assigned twice,
// conditional sets that succeeded over a later revision, and reads and followers that do not
// return the sets in order and without a gap. exactlyOnceCalls checks that a repeated set gets its
// first response.
func spaceRevisions(records []Record, report reporter) {
	spaces := collectSpaces(records, report)
	for name, space := range spaces {
		space.checkOrder(report)
		space.checkConditions(report)
		if last := len(space.inOrder) - 1; last >= 0 && space.inOrder[last].Revision > uint64(len(space.possible)) {
			newest := space.inOrder[last]
			report(newest.At, "revision %d of %s was assigned after at most %d sets", newest.Revision, name, len(space.possible))
		}
	}
	checkFollowers(records, spaces, report)
	for _, r := range ofKind(records, CoordinationCall) {
		if space := spaces[spaceName(r.Name)]; r.Op == "look" && r.Outcome == OutcomeDone && space != nil {
			space.checkRead(r, report)
		}
	}
}

func spaceName(name string) string {
	space, _, _ := strings.Cut(name, "/")
	return space
}

// collectSpaces collects the sets by space and reports sets with the same revision. A repeated set
// lasts from its first attempt to its first acknowledgment.
func collectSpaces(records []Record, report reporter) map[string]*spaceHistory {
	spaces := map[string]*spaceHistory{}
	acknowledged, firstSent := map[string]Record{}, map[string]time.Duration{}
	for _, r := range ofKind(records, CoordinationCall) {
		if r.Op != "set" {
			continue
		}
		if at, ok := firstSent[r.RequestID]; !ok || r.Start < at {
			firstSent[r.RequestID] = r.Start
		}
		name := spaceName(r.Name)
		if spaces[name] == nil {
			spaces[name] = &spaceHistory{byRevision: map[uint64]Record{}, possible: map[string]bool{}}
		}
		if r.Outcome != OutcomeRefused {
			spaces[name].possible[r.RequestID] = true
		}
		if earlier, ok := acknowledged[r.RequestID]; r.Outcome == OutcomeDone && (!ok || r.At < earlier.At) {
			acknowledged[r.RequestID] = r
		}
	}
	for _, r := range acknowledged {
		r.Start = firstSent[r.RequestID]
		space := spaces[spaceName(r.Name)]
		if other, ok := space.byRevision[r.Revision]; ok {
			report(r.At, "%s set to %s and %s set to %s have the same revision, %d", other.Name, other.Digest, r.Name, r.Digest, r.Revision)
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
	earliestLaterAck := time.Duration(math.MaxInt64) // time of the first acknowledgment of a later revision
	for i := len(s.inOrder) - 1; i >= 0; i-- {
		r := s.inOrder[i]
		if earliestLaterAck < r.Start {
			report(r.At, "%s got revision %d, but was sent after a later revision was acknowledged at %s", r.Name, r.Revision, earliestLaterAck)
		}
		earliestLaterAck = min(earliestLaterAck, r.At)
	}
}

func (s *spaceHistory) checkConditions(report reporter) {
	for _, r := range s.inOrder {
		for _, other := range s.inOrder {
			if r.IsConditional && other.Name == r.Name && other.Revision > r.From && other.Revision < r.Revision {
				report(r.At, "%s was set at revision %d on condition of revision %d, but was set at revision %d in between", r.Name, r.Revision, r.From, other.Revision)
			}
		}
	}
}

func (s *spaceHistory) checkRead(read Record, report reporter) {
	for _, set := range s.inOrder {
		if set.Name == read.Name && set.At < read.Start && set.Revision > read.Revision {
			report(read.At, "%s was read at revision %d, but revision %d was acknowledged at %s", read.Name, read.Revision, set.Revision, set.At)
		}
	}
	if set, ok := s.byRevision[read.Revision]; ok && (set.Name != read.Name || set.Digest != read.Digest) {
		report(read.At, "%s was read as %s at revision %d, where %s was set to %s", read.Name, read.Digest, read.Revision, set.Name, set.Digest)
	}
}

// checkFollowers reports responses to followers that have a gap, that differ in a revision from
// another response or from the set itself, or that reject a follower as too old although the next
// event is younger than youngEvent.
func checkFollowers(records []Record, spaces map[string]*spaceHistory, report reporter) {
	delivered := map[string]map[uint64]string{} // key and value, by space and revision
	for _, r := range ofKind(records, FollowResponse) {
		name := strings.TrimSuffix(r.Name, "/")
		space := spaces[name]
		if space == nil {
			space = &spaceHistory{}
		}
		if delivered[name] == nil {
			delivered[name] = map[uint64]string{}
		}
		if set, ok := space.byRevision[r.From+1]; r.Outcome == OutcomeTooOld && ok && r.Start-set.At < youngEvent {
			report(r.At, "a follower of %s from %d was rejected as too old, but the next event must still be retained", r.Name, r.From)
		}
		if r.Outcome != OutcomeDone {
			continue
		}
		if r.Revision < r.From || r.Revision != r.From+uint64(len(r.Revisions)) {
			report(r.At, "a follower of %s from %d got %d sets and is to continue from %d", r.Name, r.From, len(r.Revisions), r.Revision)
		}
		for i, revision := range r.Revisions {
			event := r.Names[i]
			if revision != r.From+uint64(i)+1 {
				report(r.At, "a follower of %s from %d got revision %d as event %d", r.Name, r.From, revision, i+1)
			}
			if earlier, ok := delivered[name][revision]; ok && earlier != event {
				report(r.At, "revision %d of %s was delivered as %s and as %s", revision, name, earlier, event)
			}
			delivered[name][revision] = event
			if set, ok := space.byRevision[revision]; ok && set.Name+" "+set.Digest != event {
				report(r.At, "revision %d of %s was delivered as %s, but %s was set to %s", revision, name, event, set.Name, set.Digest)
			}
			if _, id, _ := strings.Cut(event, " "); !space.possible[id] {
				report(r.At, "revision %d of %s was delivered as %s, which was refused or never set", revision, name, event)
			}
		}
	}
}
