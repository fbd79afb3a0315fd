package controlplane

import (
	"cmp"
	"encoding/json"
	"iter"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// EpochState is one epoch. It is never written to after it was made, so that it may be
// read, and shared between goroutines, without a lock.
type EpochState struct {
	Epoch ids.Epoch
	// LastBinding is the last epoch, up to this one, that binds (see binding.go).
	LastBinding ids.Epoch
	// LastChange is the last epoch, up to this one, that a change set was accepted in.
	LastChange ids.Epoch
	// Version is the operators' own number of the configuration, 0 before they gave one.
	Version ids.Version
	// Groups is everything else, by the names in groups.go.
	Groups map[string]rpc.Group
	// Changes is the results of the change sets accepted lately, oldest first.
	Changes []rpc.ChangeResult

	manifestDigest atomic.Pointer[string] // cache of ManifestDigest
	appliedAt      time.Time              // zero if it came with a snapshot or a repair
}

// Age is for how long this node has held the epoch.
func (e *EpochState) Age() time.Duration { return time.Since(e.appliedAt) }

// decode reads a group into a value, which is left as it is if there is no such group.
// The error is a *DamagedGroupError.
func (e *EpochState) decode(name string, into any) error {
	group, ok := e.Groups[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(group.Data, into); err != nil {
		return &DamagedGroupError{Epoch: e.Epoch, Group: name, Digest: group.Digest, Err: err}
	}
	return nil
}

// HasService tells whether there is a service of that name.
func (e *EpochState) HasService(service string) bool {
	_, ok := e.Groups[TargetsPrefix+service]
	return ok
}

// Targets is a service's target list; the error is a *DamagedGroupError.
func (e *EpochState) Targets(service string) (targets []rpc.Target, err error) {
	if err := e.decode(TargetsPrefix+service, &targets); err != nil {
		return nil, err
	}
	return targets, nil
}

// targetServices yields, in no order, the services that have a target list.
func (e *EpochState) targetServices() iter.Seq[string] {
	return func(yield func(string) bool) {
		for name := range e.Groups {
			if service, ok := strings.CutPrefix(name, TargetsPrefix); ok && !yield(service) {
				return
			}
		}
	}
}

// PublishedGroup is a group that is distributed to the proxies.
func (e *EpochState) PublishedGroup(name string) (rpc.Group, bool) {
	if strings.HasPrefix(name, SourcesPrefix) {
		return rpc.Group{}, false
	}
	group, ok := e.Groups[name]
	return group, ok
}

// Manifest names every group that is distributed, with its digest and revision.
func (e *EpochState) Manifest() map[string]rpc.GroupVersion {
	manifest := make(map[string]rpc.GroupVersion, len(e.Groups))
	for name := range e.Groups {
		if group, ok := e.PublishedGroup(name); ok {
			manifest[name] = rpc.GroupVersion{Digest: group.Digest, Index: group.Index}
		}
	}
	return manifest
}

// ManifestDigest is one digest over everything that is distributed.
func (e *EpochState) ManifestDigest() string {
	if digest := e.manifestDigest.Load(); digest != nil {
		return *digest
	}
	digest := DigestManifest(e.Manifest())
	e.manifestDigest.Store(&digest)
	return digest
}

// Config is the operators' configuration with the texts that they sent. The error is a
// *DamagedGroupError.
func (e *EpochState) Config() (rpc.Configuration, error) {
	config, err := e.configWithoutSources()
	if err != nil {
		return rpc.Configuration{}, err
	}
	sources, err := e.sources()
	if err != nil {
		return rpc.Configuration{}, err
	}
	attachSources(&config, sources)
	return config, nil
}

func (e *EpochState) configWithoutSources() (config rpc.Configuration, err error) {
	for name := range e.Groups {
		if strings.HasPrefix(name, RoutesPrefix) {
			var routes []rpc.Route
			if err := e.decode(name, &routes); err != nil {
				return rpc.Configuration{}, err
			}
			config.Routes = append(config.Routes, routes...)
		}
	}
	sortRoutes(config.Routes)
	for name, into := range map[string]any{ServicesGroup: &config.Services, LimitsGroup: &config.Limits, ClientLimitsGroup: &config.ClientLimits} {
		if err := e.decode(name, into); err != nil {
			return rpc.Configuration{}, err
		}
	}
	return config, nil
}

// hiddenKey stands in a view where a service has a key.
const hiddenKey = "(kept secret)"

// View is the epoch as operators see it. The texts that they sent are left out, for those
// may hold the services' keys. The error is a *DamagedGroupError.
func (e *EpochState) View() (*rpc.EpochView, error) {
	config, err := e.configWithoutSources()
	if err != nil {
		return nil, err
	}
	for i := range config.Services {
		if config.Services[i].Key != "" {
			config.Services[i].Key = hiddenKey
		}
	}
	view := &rpc.EpochView{Epoch: e.Epoch, ChangedEpoch: e.LastChange, Manifest: e.Manifest(), Configuration: config, Targets: map[string][]rpc.Target{}, Shares: map[ids.NodeName]int{}}
	for service := range e.targetServices() {
		if view.Targets[service], err = e.Targets(service); err != nil {
			return nil, err
		}
	}
	if err := e.decode(SharesGroup, &view.Shares); err != nil {
		return nil, err
	}
	return view, nil
}

func sortRoutes(routes []rpc.Route) {
	slices.SortStableFunc(routes, func(a, b rpc.Route) int { return cmp.Compare(a.Name, b.Name) })
}
