package checker

import (
	"strings"
	"time"
)

// youngEvent is the age up to which an event must still be kept for watches.
const youngEvent = 20 * time.Second

// watchCompleteness: a watch passes over an event, tells events out of order, or is told
// that a young one is no longer kept.
func watchCompleteness(records []Record, report reporter) {
	writes := writesOf(records)
	for _, watch := range ofKind(records, WatchResponse) {
		notified := map[uint64]bool{}
		for i, index := range watch.Revisions {
			notified[index] = true
			if i > 0 && index <= watch.Revisions[i-1] {
				report(watch.At, "watch of %s from %d tells %d after %d", watch.Name, watch.From, index, watch.Revisions[i-1])
			}
		}
		for name, list := range writes.acknowledged {
			if !strings.HasPrefix(name, watch.Name) {
				continue
			}
			for _, write := range list {
				if write.Revision <= watch.From {
					continue
				}
				if write.Revision <= watch.Revision && !notified[write.Revision] {
					report(watch.At, "watch of %s from %d to %d lacks %d, %s of %s", watch.Name, watch.From, watch.Revision, write.Revision, write.Op, name)
				}
				if watch.Outcome == OutcomeTooOld && watch.Start-write.At < youngEvent {
					report(watch.At, "watch of %s from %d was told too old; index %d is young", watch.Name, watch.From, write.Revision)
					break
				}
			}
		}
	}
}
