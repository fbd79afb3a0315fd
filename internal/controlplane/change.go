package controlplane

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// defaultChangeHistory is how many change sets are remembered where an epoch does not say
// so itself: those of earlier builds.
const defaultChangeHistory = 4096

// appendChange adds an accepted change set to those that are remembered. The limit stands
// in the log entry, so that all members apply it the same whatever their settings say.
func appendChange(history []rpc.ChangeResult, change *rpc.ChangeResult, limit int) []rpc.ChangeResult {
	if limit == 0 {
		limit = defaultChangeHistory
	}
	if len(history) >= limit {
		history = history[len(history)-limit+1:]
	}
	return append(slices.Clone(history), *change)
}

// FindChange is the result of an accepted change set, if it is still remembered.
func (e *EpochState) FindChange(id string) (rpc.ChangeResult, bool) {
	for i := len(e.Changes) - 1; i >= 0; i-- {
		if e.Changes[i].ID == id {
			return e.Changes[i], true
		}
	}
	return rpc.ChangeResult{}, false
}

// CheckPrecondition decides whether a change set may follow this epoch. It returns the
// first result if the set was accepted before, and no result if it is a new one. A new one
// is refused with errcode.ChangeReused if its id was used for another set, with
// errcode.ChangeConflict if the epoch or version that it names is not in force any more,
// and with errcode.InvalidChange if its own version is not above the one in force.
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

// MergeChange merges a change set into a configuration and validates the result. Each
// fault is named by the path of the item and field, such as "mappings.a.path: ..."; with
// any fault at all, all of the set is to be refused.
func MergeChange(config rpc.Configuration, change *rpc.ChangeSet) (rpc.Configuration, []string) {
	var v validator
	if change.ID == "" || len(change.ID) > maxNameBytes {
		v.fail("id: is missing or longer than %d bytes", maxNameBytes)
	}
	if change.Complete {
		config = rpc.Configuration{}
		if len(change.Remove.Routes)+len(change.Remove.Services)+len(change.Remove.Limits) > 0 {
			v.fail("drop: has no place in a whole configuration")
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

// mergeItems drops and puts items of one kind, and sorts the result by name.
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
			v.fail("put.%s.%d: %q is dropped as well", kind, i, name)
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
