package controlplane

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// defaultChangeHistory is how many results of change sets are kept if an entry does not
// specify it. Entries of earlier builds don't.
const defaultChangeHistory = 4096

// appendChange returns the history with the result of an accepted change set added, limited
// to the newest ones. The limit comes from the log entry rather than from the settings, so
// that all members of the shard apply the same one.
func appendChange(history []rpc.ChangeResult, change *rpc.ChangeResult, limit int) []rpc.ChangeResult {
	if limit == 0 {
		limit = defaultChangeHistory
	}
	if len(history) >= limit {
		history = history[len(history)-limit+1:]
	}
	return append(slices.Clone(history), *change)
}

// FindChange returns the result of an accepted change set by its ID, if it is still kept.
func (e *EpochState) FindChange(id string) (rpc.ChangeResult, bool) {
	for i := len(e.Changes) - 1; i >= 0; i-- {
		if e.Changes[i].ID == id {
			return e.Changes[i], true
		}
	}
	return rpc.ChangeResult{}, false
}

// CheckPrecondition checks whether a change set may be applied to this epoch. For a change
// set that was accepted before it returns the result of that time, and for a new one that
// may be applied nil. The error is errcode.ChangeReused if the ID belongs to a change set
// with another digest, errcode.ChangeConflict if the base epoch or expected version is not
// current, and errcode.InvalidChange if the new version is not above the current one.
func (e *EpochState) CheckPrecondition(change *rpc.ChangeSet, digest string) (*rpc.ChangeResult, error) {
	if first, ok := e.FindChange(change.ID); ok {
		if first.Digest != digest {
			return nil, errcode.New(errcode.ChangeReused, "%q", change.ID)
		}
		return &first, nil
	}
	if change.ExpectedVersion != nil && *change.ExpectedVersion != e.Version {
		return nil, errcode.New(errcode.ChangeConflict, "version %d was named, version %d is in force", *change.ExpectedVersion, e.Version)
	}
	if change.Version > 0 && change.Version <= e.Version {
		return nil, errcode.NewPaths(errcode.InvalidChange, []string{fmt.Sprintf("version: is not above %d, which is in force", e.Version)})
	}
	if change.ExpectedVersion == nil && (change.BaseEpoch < e.LastChange || change.BaseEpoch > e.Epoch) {
		return nil, errcode.New(errcode.ChangeConflict, "epoch %d was named, the last change set was accepted in epoch %d, epoch %d is in force", change.BaseEpoch, e.LastChange, e.Epoch)
	}
	return nil, nil
}

// MergeChange merges a change set into a configuration and validates the result. It also
// returns the faults found, each prefixed with the path of the item and field, such as
// "mappings.a.path: ...". If there is any, the whole change set must be refused.
func MergeChange(config rpc.Configuration, change *rpc.ChangeSet) (rpc.Configuration, []string) {
	var v validator
	if change.ID == "" || len(change.ID) > maxNameBytes {
		v.fail("id: is missing or longer than %d bytes", maxNameBytes)
	}
	if change.Complete {
		config = rpc.Configuration{}
		if len(change.Remove.Routes)+len(change.Remove.Services)+len(change.Remove.Limits) > 0 {
			v.fail("drop: is not allowed in a whole configuration")
		}
	}
	merged := rpc.Configuration{
		Routes:       mergeItems(&v, "mappings", config.Routes, change.Put.Routes, change.Remove.Routes, func(route rpc.Route) string { return route.Name }),
		Services:     mergeItems(&v, "services", config.Services, change.Put.Services, change.Remove.Services, func(service rpc.Service) string { return service.Name }),
		Limits:       mergeItems(&v, "limits", config.Limits, change.Put.Limits, change.Remove.Limits, func(limit rpc.Limit) string { return limit.Service }),
		ClientLimits: config.ClientLimits,
	}
	if change.Put.ClientLimits != nil {
		merged.ClientLimits = change.Put.ClientLimits
	}
	v.config(&merged)
	return merged, v.faults
}

// mergeItems returns items without those in drop and with those in put added or replaced,
// sorted by name. It records a fault for each contradictory or unknown name.
func mergeItems[T any](v *validator, kind string, items, put []T, drop []string, nameOf func(T) string) []T {
	existing, dropped, replaced := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, item := range items {
		existing[nameOf(item)] = true
	}
	for i, name := range drop {
		dropped[name] = true
		if !existing[name] {
			v.fail("drop.%s.%d: there is no %q", kind, i, name)
		}
	}
	for i, item := range put {
		name := nameOf(item)
		if replaced[name] {
			v.fail("put.%s.%d: %q stands twice", kind, i, name)
		}
		if dropped[name] {
			v.fail("put.%s.%d: %q is also dropped", kind, i, name)
		}
		replaced[name] = true
	}
	var merged []T
	for _, item := range items {
		if !dropped[nameOf(item)] && !replaced[nameOf(item)] {
			merged = append(merged, item)
		}
	}
	merged = append(merged, put...)
	slices.SortStableFunc(merged, func(a, b T) int { return cmp.Compare(nameOf(a), nameOf(b)) })
	return merged
}
