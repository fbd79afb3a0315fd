// The Sheet is one epoch as it stands: what a change set is judged by, what the
// distribution carries to the proxies, and what operators see of it.
package controlplane

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// FindChange is the receipt of an accepted change set.
func (e *EpochState) FindChange(id string) (rpc.ChangeResult, bool) {
	for i := len(e.Changes) - 1; i >= 0; i-- {
		if e.Changes[i].ID == id {
			return e.Changes[i], true
		}
	}
	return rpc.ChangeResult{}, false
}

// CheckPrecondition tells whether a change set has its place after this epoch. A repeat
// gets the first receipt, and no receipt means that the set is a new one.
func (e *EpochState) CheckPrecondition(change *rpc.ChangeSet, digest string) (*rpc.ChangeResult, error) {
	if first, ok := e.FindChange(change.ID); ok {
		if first.Digest != digest {
			return nil, errcode.New(errcode.ChangeReused, "%q", change.ID)
		}
		return &first, nil
	}
	if change.BaseVersion != nil && *change.BaseVersion != e.Version {
		return nil, errcode.New(errcode.ChangeConflict, "version %d was named, version %d is in force", *change.BaseVersion, e.Version)
	}
	if change.Version > 0 && change.Version <= e.Version {
		return nil, errcode.At(errcode.BadChange, []string{fmt.Sprintf("version: is not above %d, which is in force", e.Version)})
	}
	if change.BaseVersion == nil && (change.BaseEpoch < e.LastChange || change.BaseEpoch > e.Epoch) {
		return nil, errcode.New(errcode.ChangeConflict, "epoch %d was named, the last change set was accepted in epoch %d, epoch %d is in force", change.BaseEpoch, e.LastChange, e.Epoch)
	}
	return nil, nil
}

// HasService tells whether there is a service of that name.
func (e *EpochState) HasService(service string) bool {
	_, ok := e.Groups[TargetsPrefix+service]
	return ok
}

// Targets is a service's target list.
func (e *EpochState) Targets(service string) (list []rpc.Target) {
	json.Unmarshal(e.Groups[TargetsPrefix+service].Data, &list)
	return list
}

// PublishedGroup is a group that goes to the proxies.
func (e *EpochState) PublishedGroup(name string) (rpc.Group, bool) {
	if strings.HasPrefix(name, SourcesPrefix) {
		return rpc.Group{}, false
	}
	group, ok := e.Groups[name]
	return group, ok
}

// Manifest names every group that goes to the proxies, with its digest and stamp.
func (e *EpochState) Manifest() map[string]rpc.GroupVersion {
	manifest := make(map[string]rpc.GroupVersion, len(e.Groups))
	for name := range e.Groups {
		if group, ok := e.PublishedGroup(name); ok {
			manifest[name] = rpc.GroupVersion{Digest: group.Digest, Index: group.Index}
		}
	}
	return manifest
}

// Config is the operators' part of the epoch, with the text they sent.
func (e *EpochState) Config() rpc.Configuration {
	config := e.configWithoutSources()
	attachSources(&config, e.sources())
	return config
}

func (e *EpochState) configWithoutSources() (config rpc.Configuration) {
	for name, group := range e.Groups {
		if strings.HasPrefix(name, RoutesPrefix) {
			var some []rpc.Route
			json.Unmarshal(group.Data, &some)
			config.Routes = append(config.Routes, some...)
		}
	}
	sort.Slice(config.Routes, func(i, j int) bool { return config.Routes[i].Name < config.Routes[j].Name })
	json.Unmarshal(e.Groups[ServicesGroup].Data, &config.Services)
	json.Unmarshal(e.Groups[LimitsGroup].Data, &config.Limits)
	json.Unmarshal(e.Groups[ClientLimitsGroup].Data, &config.ClientLimits)
	return config
}

// View is the epoch as operators see it. The text they sent is left out, for it
// may hold the keys.
func (e *EpochState) View() *rpc.EpochView {
	view := &rpc.EpochView{Epoch: e.Epoch, ChangedEpoch: e.LastChange, Manifest: e.Manifest(), Configuration: e.configWithoutSources(), Targets: map[string][]rpc.Target{}, Shares: map[ids.NodeName]int{}}
	for name := range e.Groups {
		if service, ok := strings.CutPrefix(name, TargetsPrefix); ok {
			view.Targets[service] = e.Targets(service)
		}
	}
	json.Unmarshal(e.Groups[SharesGroup].Data, &view.Shares)
	for i := range view.Configuration.Services {
		if view.Configuration.Services[i].Key != "" {
			view.Configuration.Services[i].Key = "(kept secret)"
		}
	}
	return view
}

func sortConfig(c *rpc.Configuration) {
	sort.Slice(c.Routes, func(i, j int) bool { return c.Routes[i].Name < c.Routes[j].Name })
	sort.Slice(c.Services, func(i, j int) bool { return c.Services[i].Name < c.Services[j].Name })
	sort.Slice(c.Limits, func(i, j int) bool { return c.Limits[i].Service < c.Limits[j].Service })
}

// ManifestDigest is one digest over the digests and stamps of all that goes to the proxies.
func (e *EpochState) ManifestDigest() string {
	if sum := e.manifestDigest.Load(); sum != nil {
		return *sum
	}
	sum := DigestManifest(e.Manifest())
	e.manifestDigest.Store(&sum)
	return sum
}

// DigestManifest is one digest over a manifest.
func DigestManifest(manifest map[string]rpc.GroupVersion) string {
	raw, _ := json.Marshal(manifest)
	return Digest(raw)
}
