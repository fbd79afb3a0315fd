package checker

import (
	"strings"
	"time"
)

// youngEvent is the age up to which events must be retained for watches.
const youngEvent = 20 * time.Second

// watchCompleteness reports watch responses that miss an event, deliver events out of order, or
// reject a watch as too old although the event is younger than youngEvent.
func watchCompleteness(records []Record, report reporter) {
	writes := collectWrites(records)
	for _, watch := range ofKind(records, WatchResponse) {
		delivered := map[uint64]bool{}
		for i, index := range watch.Revisions {
			delivered[index] = true
			if i > 0 && index <= watch.Revisions[i-1] {
				report(watch.At, "watch of %s from %d delivered %d after %d", watch.Name, watch.From, index, watch.Revisions[i-1])
			}
		}
		for name, acknowledged := range writes.acknowledged {
			if !strings.HasPrefix(name, watch.Name) {
				continue
			}
			for _, write := range acknowledged {
				if write.Revision <= watch.From {
					continue
				}
				if write.Revision <= watch.Revision && !delivered[write.Revision] {
					report(watch.At, "watch of %s from %d to %d misses index %d, a %s of %s", watch.Name, watch.From, watch.Revision, write.Revision, write.Op, name)
				}
				if watch.Outcome == OutcomeTooOld && watch.Start-write.At < youngEvent {
					report(watch.At, "watch of %s from %d was rejected as too old, but index %d must still be retained", watch.Name, watch.From, write.Revision)
					break
				}
			}
		}
	}
}
