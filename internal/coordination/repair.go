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

// The state is divided into ranges, so that replicas can compare digests and repair only the
// ranges that differ. Records are assigned to a range by the hash of their name. The completed
// requests form one more range.
const (
	recordRangeCount = 16
	completedRange   = "receipts"
)

func rangeName(name string) string {
	return fmt.Sprint("names/", ids.Hash("range", name)%recordRangeCount)
}

// recordsByRange returns the records of each non-empty range, sorted by kind and name.
func (s *Store) recordsByRange() map[string][]rpc.CoordinationRecord {
	ranges := map[string][]rpc.CoordinationRecord{}
	for _, kind := range s.records {
		for _, record := range kind {
			name := rangeName(record.Name)
			ranges[name] = append(ranges[name], record)
		}
	}
	for _, records := range ranges {
		sort.Slice(records, func(i, j int) bool { return recordLess(records[i], records[j]) })
	}
	return ranges
}

// digestOf returns the MD5 digest of a value's JSON, in hexadecimal. It detects errors, not
// tampering. Encoding can't fail, because the values were decoded from JSON.
func digestOf(value any) string {
	raw, _ := json.Marshal(value)
	sum := md5.Sum(raw)
	return hex.EncodeToString(sum[:])
}

// RangeDigests returns the digests of the completed requests and of each non-empty range of
// records, by the name of the range.
func (s *Store) RangeDigests() map[string]string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	digests := map[string]string{completedRange: digestOf(s.completed.list())}
	for name, records := range s.recordsByRange() {
		digests[name] = digestOf(records)
	}
	return digests
}

// ExportRange returns the contents of one range in the form that Repair takes.
func (s *Store) ExportRange(name string) (json.RawMessage, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if name == completedRange {
		return json.Marshal(s.completed.list())
	}
	return json.Marshal(s.recordsByRange()[name])
}

// Repair replaces the contents of one range with those exported by another replica. It
// publishes no events: followers of a space detect missed sets by the gap in the revisions.
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
			if rangeName(record.Name) == name {
				delete(kind, key)
			}
		}
	}
	for _, record := range records {
		s.records.put(record)
	}
	return nil
}
