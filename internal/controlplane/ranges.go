// The ledger's state cut into ranges: each group is one, and the change sets
// with the epoch's numbers are another.
package controlplane

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	groupRange = "group/"
	headRange  = "head"
)

func (l *Ledger) head(s *Sheet) rpc.LedgerState {
	return rpc.LedgerState{Epoch: s.Epoch, Changed: s.Changed, Version: s.Version, Changes: s.Changes}
}

// Digests is one digest for each range. A group's is made of its data anew.
func (l *Ledger) Digests() map[string]string {
	s := l.Sheet()
	raw, _ := json.Marshal(l.head(s))
	digests := map[string]string{headRange: Digest(raw)}
	for name, group := range s.Groups {
		raw, _ := json.Marshal(group)
		digests[groupRange+name] = Digest(raw)
	}
	return digests
}

// Range is one range as it is.
func (l *Ledger) Range(name string) (json.RawMessage, error) {
	s := l.Sheet()
	if group, ok := strings.CutPrefix(name, groupRange); ok {
		if g, ok := s.Groups[group]; ok {
			return json.Marshal(g)
		}
		return json.RawMessage("null"), nil
	}
	return json.Marshal(l.head(s))
}

// Mend replaces one range; a group that is no longer there is taken out.
func (l *Ledger) Mend(name string, data json.RawMessage) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.sheet
	sheet := &Sheet{Epoch: old.Epoch, Changed: old.Changed, Version: old.Version, Groups: maps.Clone(old.Groups), Changes: old.Changes}
	if group, ok := strings.CutPrefix(name, groupRange); ok {
		var g *rpc.Group
		if err := json.Unmarshal(data, &g); err != nil {
			return err
		}
		if g == nil {
			delete(sheet.Groups, group)
		} else {
			sheet.Groups[group] = *g
		}
	} else {
		var head rpc.LedgerState
		if err := json.Unmarshal(data, &head); err != nil {
			return err
		}
		sheet.Epoch, sheet.Changed, sheet.Version, sheet.Changes = head.Epoch, head.Changed, head.Version, head.Changes
	}
	sheet.Binding = sheet.Epoch
	l.sheet, l.past = sheet, nil
	return nil
}
