package coordination

import (
	"crypto/md5"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// The state is cut into ranges, so that replicas can compare digests and repair only what
// differs: the records by the hash of their name, and the completed requests as one range.
const (
	recordRanges   = 16
	completedRange = "receipts"
)

func rangeOf(name string) string { return fmt.Sprint("names/", ids.Hash("range", name)%recordRanges) }

// recordsByRange returns the records of each range that has any, in order.
func (s *Store) recordsByRange() map[string][]rpc.CoordinationRecord {
	ranges := map[string][]rpc.CoordinationRecord{}
	for _, kind := range s.records {
		for _, record := range kind {
			name := rangeOf(record.Name)
			ranges[name] = append(ranges[name], record)
		}
	}
	for _, records := range ranges {
		sort.Slice(records, func(i, j int) bool { return recordLess(records[i], records[j]) })
	}
	return ranges
}

// digestOf returns the MD5 digest of a value's JSON, in hex. It guards against errors, not
// against an adversary. Values are JSON that was read before, so they can be written.
func digestOf(value any) string {
	raw, _ := json.Marshal(value)
	sum := md5.Sum(raw)
	return hex.EncodeToString(sum[:])
}

// RangeDigests returns a digest of each range that holds anything, and of the completed
// requests.
func (s *Store) RangeDigests() map[string]string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	digests := map[string]string{completedRange: digestOf(s.completed.list())}
	for name, records := range s.recordsByRange() {
		digests[name] = digestOf(records)
	}
	return digests
}

// ExportRange returns the contents of one range.
func (s *Store) ExportRange(name string) (json.RawMessage, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if name == completedRange {
		return json.Marshal(s.completed.list())
	}
	return json.Marshal(s.recordsByRange()[name])
}

// Repair replaces one range by contents that another replica exported. It publishes no
// events: a follower of a space is told that it missed some, by the gap in the revisions.
func (s *Store) Repair(name string, contents json.RawMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == completedRange {
		var list []rpc.CompletedRequest
		if err := json.Unmarshal(contents, &list); err != nil {
			return err
		}
		s.completed = newCompletedRequests(list)
		return nil
	}
	var records []rpc.CoordinationRecord
	if err := json.Unmarshal(contents, &records); err != nil {
		return err
	}
	for _, kind := range s.records {
		for key, record := range kind {
			if rangeOf(record.Name) == name {
				delete(kind, key)
			}
		}
	}
	for _, record := range records {
		s.records.put(record)
	}
	return nil
}
