// A book's state cut into ranges by the hash of the name, and the receipts as
// one range of their own, so that copies can be compared and mended.
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

const (
	rangeCount     = 16
	responsesRange = "receipts"
)

func rangeName(name string) string { return fmt.Sprint("names/", ids.Hash("range", name)%rangeCount) }

// recordsByRange is the records of each range, in order.
func (b *Store) recordsByRange() map[string][]rpc.CoordinationRecord {
	cut := map[string][]rpc.CoordinationRecord{}
	for _, kind := range b.records {
		for _, record := range kind {
			name := rangeName(record.Name)
			cut[name] = append(cut[name], record)
		}
	}
	for _, list := range cut {
		sort.Slice(list, func(i, j int) bool { return recordLess(list[i], list[j]) })
	}
	return cut
}

func (b *Store) responseList() []rpc.CompletedRequest {
	list := make([]rpc.CompletedRequest, 0, len(b.responseOrder))
	for _, id := range b.responseOrder {
		list = append(list, rpc.CompletedRequest{ID: id, Response: b.responses[id]})
	}
	return list
}

func digestOf(value any) string {
	raw, _ := json.Marshal(value)
	sum := md5.Sum(raw)
	return hex.EncodeToString(sum[:])
}

// RangeDigests is one digest for each range that holds anything.
func (b *Store) RangeDigests() map[string]string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	digests := map[string]string{responsesRange: digestOf(b.responseList())}
	for name, list := range b.recordsByRange() {
		digests[name] = digestOf(list)
	}
	return digests
}

// ExportRange is one range as it is.
func (b *Store) ExportRange(name string) (json.RawMessage, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if name == responsesRange {
		return json.Marshal(b.responseList())
	}
	return json.Marshal(b.recordsByRange()[name])
}

// Repair replaces one range.
func (b *Store) Repair(name string, data json.RawMessage) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if name == responsesRange {
		var list []rpc.CompletedRequest
		if err := json.Unmarshal(data, &list); err != nil {
			return err
		}
		b.responses, b.responseOrder = map[string]rpc.CoordinationResponse{}, nil
		for _, s := range list {
			b.responses[s.ID] = s.Response
			b.responseOrder = append(b.responseOrder, s.ID)
		}
		return nil
	}
	var list []rpc.CoordinationRecord
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	for _, kind := range b.records {
		for key, record := range kind {
			if rangeName(record.Name) == name {
				delete(kind, key)
			}
		}
	}
	for _, record := range list {
		b.recordsOf(record.Kind)[record.Name] = record
	}
	return nil
}
