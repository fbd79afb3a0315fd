// Checkers of spaces with counts of their own, and of operators' versions.
package checker

import (
	"sort"
	"strings"
	"time"
)

// spaceRevisions: the revisions of a space rise by one, and no two sets get one; a set that
// was conditional on a revision never succeeds over a later one; reads and followers
// see what was set, in order, and miss none. That a repeated set gets its first
// receipt is judged by "counted".
func spaceRevisions(all []Record, fail func(time.Duration, string, ...any)) {
	done, first := map[string]Record{}, map[string]time.Duration{}
	mayBe := map[string]map[string]bool{} // by space, the sets that were done or may have been
	for _, r := range ofKind(all, CoordinationCall) {
		if r.Op != "set" {
			continue
		}
		if at, ok := first[r.RequestID]; !ok || r.Start < at {
			first[r.RequestID] = r.Start
		}
		space, _, _ := strings.Cut(r.Name, "/")
		if mayBe[space] == nil {
			mayBe[space] = map[string]bool{}
		}
		if r.Outcome != "refused" {
			mayBe[space][r.RequestID] = true
		}
		if old, ok := done[r.RequestID]; r.Outcome == "done" && (!ok || r.At < old.At) {
			done[r.RequestID] = r
		}
	}
	spaces, bySpace := map[string]map[uint64]Record{}, map[string][]Record{}
	for _, r := range done {
		r.Start = first[r.RequestID]
		space, _, _ := strings.Cut(r.Name, "/")
		if spaces[space] == nil {
			spaces[space] = map[uint64]Record{}
		}
		if other, ok := spaces[space][r.Revision]; ok {
			fail(r.At, "%s set to %s and %s set to %s got one revision, %d", other.Name, other.Digest, r.Name, r.Digest, r.Revision)
		}
		spaces[space][r.Revision] = r
		bySpace[space] = append(bySpace[space], r)
	}
	for space, list := range bySpace {
		sort.Slice(list, func(i, j int) bool { return list[i].Revision < list[j].Revision })
		least := time.Duration(1<<63 - 1)
		for i := len(list) - 1; i >= 0; i-- {
			if r := list[i]; least < r.Start {
				fail(r.At, "%s got revision %d, and a later one was acknowledged at %s, before it was sent", r.Name, r.Revision, least)
			}
			least = min(least, list[i].At)
		}
		if top := list[len(list)-1]; top.Revision > uint64(len(mayBe[space])) {
			fail(top.At, "revision %d of %s was given; there were at most %d sets", top.Revision, space, len(mayBe[space]))
		}
		for _, r := range list {
			for _, other := range list {
				if r.IsConditional && other.Name == r.Name && other.Revision > r.From && other.Revision < r.Revision {
					fail(r.At, "%s was set at revision %d on condition of revision %d, and %d lies between", r.Name, r.Revision, r.From, other.Revision)
				}
			}
		}
	}
	followCompleteness(all, spaces, mayBe, fail)
	for _, r := range ofKind(all, CoordinationCall) {
		if r.Op != "look" || r.Outcome != "done" {
			continue
		}
		space, _, _ := strings.Cut(r.Name, "/")
		for _, w := range bySpace[space] {
			if w.Name == r.Name && w.At < r.Start && w.Revision > r.Revision {
				fail(r.At, "%s was read at revision %d, and %d was acknowledged at %s", r.Name, r.Revision, w.Revision, w.At)
			}
		}
		if w, ok := spaces[space][r.Revision]; ok && (w.Name != r.Name || w.Digest != r.Digest) {
			fail(r.At, "%s was read as %s at revision %d, where %s was set to %s", r.Name, r.Digest, r.Revision, w.Name, w.Digest)
		}
	}
}

// followCompleteness: each receipt goes on without a gap, and all of them tell the same.
func followCompleteness(all []Record, spaces map[string]map[uint64]Record, mayBe map[string]map[string]bool, fail func(time.Duration, string, ...any)) {
	told := map[string]map[uint64]string{}
	for _, r := range ofKind(all, FollowResponse) {
		space := strings.TrimSuffix(r.Name, "/")
		if told[space] == nil {
			told[space] = map[uint64]string{}
		}
		if w, ok := spaces[space][r.From+1]; r.Outcome == "too old" && ok && r.Start-w.At < 20*time.Second {
			fail(r.At, "a follower of %s from %d was told too old; the next is young", r.Name, r.From)
		}
		if r.Outcome != "done" {
			continue
		}
		if r.Revision < r.From || r.Revision != r.From+uint64(len(r.Revisions)) {
			fail(r.At, "a follower of %s from %d got %d sets and is to go on from %d", r.Name, r.From, len(r.Revisions), r.Revision)
		}
		for i, rev := range r.Revisions {
			if rev != r.From+uint64(i)+1 {
				fail(r.At, "a follower of %s from %d was told of %d as number %d", r.Name, r.From, rev, i+1)
			}
			if old, ok := told[space][rev]; ok && old != r.Names[i] {
				fail(r.At, "revision %d of %s was told as %s and as %s", rev, space, old, r.Names[i])
			}
			told[space][rev] = r.Names[i]
			if w, ok := spaces[space][rev]; ok && w.Name+" "+w.Digest != r.Names[i] {
				fail(r.At, "revision %d of %s was told as %s; %s was set to %s", rev, space, r.Names[i], w.Name, w.Digest)
			}
			if _, id, _ := strings.Cut(r.Names[i], " "); !mayBe[space][id] {
				fail(r.At, "revision %d of %s was told as %s, which was never set, or refused", rev, space, r.Names[i])
			}
		}
	}
}

// versionedChanges: of two changes over one version one wins, each accepted one is over the
// one accepted before it, a refused one is never in force, and the newest that was
// acknowledged is never lost and is read back as it was sent.
func versionedChanges(all []Record, fail func(time.Duration, string, ...any)) {
	ids, states := map[string]Record{}, map[string]string{}
	for _, r := range ofKind(all, VersionedChange) {
		if r.Invalid && r.Outcome == "accepted" {
			fail(r.At, "%s is invalid and was accepted", r.Name)
		}
		if old, ok := ids[r.Name]; ok && r.Outcome == "accepted" && old.Outcome == "accepted" && (old.Epoch != r.Epoch || old.Revision != r.Revision) {
			fail(r.At, "%s was accepted as version %d in epoch %d and as version %d in epoch %d", r.Name, old.Revision, old.Epoch, r.Revision, r.Epoch)
		}
		switch was := states[r.Name]; {
		case r.Outcome == "accepted" && was == "refused":
			fail(r.At, "%s was refused, and is accepted", r.Name)
		case r.Outcome == "refused" && was == "accepted":
			fail(r.At, "%s was accepted, and is refused", r.Name)
		}
		if states[r.Name] == "" || r.Outcome != "unknown" {
			states[r.Name] = r.Outcome
		}
		if old, ok := ids[r.Name]; !ok || old.Outcome != "accepted" {
			ids[r.Name] = r
		}
	}
	over, unsure := map[uint64]string{}, map[uint64]bool{0: true}
	for id, r := range ids {
		if states[id] == "refused" {
			continue
		}
		unsure[r.Revision] = true
		if states[id] != "accepted" {
			continue
		}
		if other, ok := over[r.From]; ok {
			fail(r.At, "%s and %s were both accepted over version %d", other, id, r.From)
		}
		over[r.From] = id
	}
	for _, r := range ids {
		if states[r.Name] == "accepted" && !unsure[r.From] {
			fail(r.At, "%s was accepted over version %d, which never was", r.Name, r.From)
		}
		for _, between := range ids {
			if states[r.Name] == "accepted" && states[between.Name] == "accepted" && between.Revision > r.From && between.Revision < r.Revision {
				fail(r.At, "%s is version %d over %d, and %s is version %d", r.Name, r.Revision, r.From, between.Name, between.Revision)
			}
		}
	}
	wholes := completeReplacements(all)
	for _, back := range ofKind(all, ConfigurationRead) {
		for id, r := range ids {
			digest, isThere := back.Destinations[id]
			isGone := false
			for _, w := range wholes {
				isGone = isGone || w.Epoch > r.Epoch && w.Epoch <= back.Epoch || w.Epoch == 0 && w.Start < back.At
			}
			switch {
			case states[id] == "refused" && isThere:
				fail(back.At, "%s was refused and is in force", id)
			case isThere && digest != r.Digest:
				fail(back.At, "%s is read back as %s and was sent as %s", id, digest, r.Digest)
			case states[id] == "accepted" && r.At < back.Start && back.Revision < r.Revision:
				fail(back.At, "version %d was acknowledged at %s, and version %d is in force", r.Revision, r.At, back.Revision)
			case states[id] == "accepted" && back.Revision == r.Revision && !isThere && !isGone:
				fail(back.At, "version %d is in force without %s", r.Revision, id)
			}
		}
		if back.Revision > 0 && !unsure[back.Revision] {
			fail(back.At, "version %d is in force, and was refused or never sent", back.Revision)
		}
	}
}

// completeReplacements is the change sets that replaced all others, by the epochs that brought
// them into force; those of which that was never known bear none.
func completeReplacements(all []Record) (wholes []Record) {
	epochs, isAbsent := map[string]uint64{}, map[string]bool{}
	for _, r := range all {
		switch {
		case (r.Kind == ChangeSubmitted || r.Kind == ChangeQueried) && r.Outcome == "accepted":
			epochs[r.Name] = r.Epoch
		case r.Kind == ChangeQueried:
			isAbsent[r.Name] = r.Outcome == "absent"
		}
	}
	for _, r := range ofKind(all, ChangeSubmitted) {
		epoch, isKnown := epochs[r.Name]
		if r.ReplacesAll && (isKnown || r.Outcome != "refused" && !isAbsent[r.Name]) {
			r.Epoch = epoch
			wholes = append(wholes, r)
		}
	}
	return wholes
}
