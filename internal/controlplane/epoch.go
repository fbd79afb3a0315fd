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

// EpochState is one epoch. It is immutable, so goroutines may share it without a lock.
type EpochState struct {
	Epoch ids.Epoch
	// LastBinding is the last binding epoch up to and including this one (see binding.go).
	LastBinding ids.Epoch
	// LastChange is the last epoch, up to and including this one, that has a change set.
	LastChange ids.Epoch
	// Version is the operators' version number of the configuration, 0 if they gave none.
	Version ids.Version
	// Groups holds the configuration, targets and shares by group name (see groups.go).
	Groups map[string]rpc.Group
	// Changes holds the results of the most recently accepted change sets, oldest first.
	Changes []rpc.ChangeResult

	manifestDigest atomic.Pointer[string] // cache of ManifestDigest
	appliedAt      time.Time              // zero if the epoch comes from a snapshot or a repair
}

// Age returns the time since this node applied the epoch.
func (e *EpochState) Age() time.Duration { return time.Since(e.appliedAt) }

// decode decodes a group into the given value. It leaves the value unchanged if the epoch
// has no such group. The error is a *DamagedGroupError.
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

// HasService reports whether the epoch has a target list for the service.
func (e *EpochState) HasService(service string) bool {
	_, ok := e.Groups[TargetsPrefix+service]
	return ok
}

// Targets returns a service's target list. The error is a *DamagedGroupError.
func (e *EpochState) Targets(service string) (targets []rpc.Target, err error) {
	if err := e.decode(TargetsPrefix+service, &targets); err != nil {
		return nil, err
	}
	return targets, nil
}

// targetServices yields the services that have a target list, in no particular order.
func (e *EpochState) targetServices() iter.Seq[string] {
	return func(yield func(string) bool) {
		for name := range e.Groups {
			if service, ok := strings.CutPrefix(name, TargetsPrefix); ok && !yield(service) {
				return
			}
		}
	}
}

// PublishedGroup returns a group if it exists and is distributed to the proxies.
func (e *EpochState) PublishedGroup(name string) (rpc.Group, bool) {
	if strings.HasPrefix(name, SourcesPrefix) {
		return rpc.Group{}, false
	}
	group, ok := e.Groups[name]
	return group, ok
}

// Manifest returns the digest and index of every group that is distributed to the proxies.
func (e *EpochState) Manifest() map[string]rpc.GroupVersion {
	manifest := make(map[string]rpc.GroupVersion, len(e.Groups))
	for name := range e.Groups {
		if group, ok := e.PublishedGroup(name); ok {
			manifest[name] = rpc.GroupVersion{Digest: group.Digest, Index: group.Index}
		}
	}
	return manifest
}

// ManifestDigest returns the digest of the manifest. The digest is cached.
func (e *EpochState) ManifestDigest() string {
	if digest := e.manifestDigest.Load(); digest != nil {
		return *digest
	}
	digest := DigestManifest(e.Manifest())
	e.manifestDigest.Store(&digest)
	return digest
}

// Config returns the operators' configuration including its sources (see sources.go). The
// error is a *DamagedGroupError.
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

// hiddenKey replaces the keys of services in a view.
const hiddenKey = "(kept secret)"

// View returns the epoch as shown to operators. It omits the sources, which may contain the
// keys of services. The error is a *DamagedGroupError.
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
