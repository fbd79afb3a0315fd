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
	ranges   = 16
	receipts = "receipts"
)

func rangeOf(name string) string { return fmt.Sprint("names/", ids.Hash("range", name)%ranges) }

// cut is the records of each range, in order.
func (b *Book) cut() map[string][]rpc.CoordinationRecord {
	cut := map[string][]rpc.CoordinationRecord{}
	for _, kind := range b.records {
		for _, record := range kind {
			name := rangeOf(record.Name)
			cut[name] = append(cut[name], record)
		}
	}
	for _, list := range cut {
		sort.Slice(list, func(i, j int) bool { return less(list[i], list[j]) })
	}
	return cut
}

func (b *Book) receipts() []rpc.CompletedRequest {
	list := make([]rpc.CompletedRequest, 0, len(b.order))
	for _, id := range b.order {
		list = append(list, rpc.CompletedRequest{ID: id, Response: b.seen[id]})
	}
	return list
}

func digest(value any) string {
	raw, _ := json.Marshal(value)
	sum := md5.Sum(raw)
	return hex.EncodeToString(sum[:])
}

// RangeDigests is one digest for each range that holds anything.
func (b *Book) RangeDigests() map[string]string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	digests := map[string]string{receipts: digest(b.receipts())}
	for name, list := range b.cut() {
		digests[name] = digest(list)
	}
	return digests
}

// ExportRange is one range as it is.
func (b *Book) ExportRange(name string) (json.RawMessage, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if name == receipts {
		return json.Marshal(b.receipts())
	}
	return json.Marshal(b.cut()[name])
}

// Repair replaces one range.
func (b *Book) Repair(name string, data json.RawMessage) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if name == receipts {
		var list []rpc.CompletedRequest
		if err := json.Unmarshal(data, &list); err != nil {
			return err
		}
		b.seen, b.order = map[string]rpc.CoordinationResponse{}, nil
		for _, s := range list {
			b.seen[s.ID] = s.Response
			b.order = append(b.order, s.ID)
		}
		return nil
	}
	var list []rpc.CoordinationRecord
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	for _, kind := range b.records {
		for key, record := range kind {
			if rangeOf(record.Name) == name {
				delete(kind, key)
			}
		}
	}
	for _, record := range list {
		b.of(record.Kind)[record.Name] = record
	}
	return nil
}
