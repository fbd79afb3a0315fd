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
func (e *EpochState) FindChange(id string) (rpc.ChangeReceipt, bool) {
	for i := len(e.Changes) - 1; i >= 0; i-- {
		if e.Changes[i].Id == id {
			return e.Changes[i], true
		}
	}
	return rpc.ChangeReceipt{}, false
}

// CheckPrecondition tells whether a change set has its place after this epoch. A repeat
// gets the first receipt, and no receipt means that the set is a new one.
func (e *EpochState) CheckPrecondition(change *rpc.Change, digest string) (*rpc.ChangeReceipt, error) {
	if first, ok := e.FindChange(change.Id); ok {
		if first.Digest != digest {
			return nil, errcode.New(errcode.ChangeReused, "%q", change.Id)
		}
		return &first, nil
	}
	if change.Over != nil && *change.Over != e.Version {
		return nil, errcode.New(errcode.ChangeConflict, "version %d was named, version %d is in force", *change.Over, e.Version)
	}
	if change.Version > 0 && change.Version <= e.Version {
		return nil, errcode.At(errcode.BadChange, []string{fmt.Sprintf("version: is not above %d, which is in force", e.Version)})
	}
	if change.Over == nil && (change.Base < e.LastChange || change.Base > e.Epoch) {
		return nil, errcode.New(errcode.ChangeConflict, "epoch %d was named, the last change set was accepted in epoch %d, epoch %d is in force", change.Base, e.LastChange, e.Epoch)
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
func (e *EpochState) Manifest() map[string]rpc.Held {
	manifest := make(map[string]rpc.Held, len(e.Groups))
	for name := range e.Groups {
		if group, ok := e.PublishedGroup(name); ok {
			manifest[name] = rpc.Held{Digest: group.Digest, Stamp: group.Stamp}
		}
	}
	return manifest
}

// Config is the operators' part of the epoch, with the text they sent.
func (e *EpochState) Config() rpc.Config {
	config := e.configWithoutSources()
	attachSources(&config, e.sources())
	return config
}

func (e *EpochState) configWithoutSources() (config rpc.Config) {
	for name, group := range e.Groups {
		if strings.HasPrefix(name, RoutesPrefix) {
			var some []rpc.Mapping
			json.Unmarshal(group.Data, &some)
			config.Mappings = append(config.Mappings, some...)
		}
	}
	sort.Slice(config.Mappings, func(i, j int) bool { return config.Mappings[i].Name < config.Mappings[j].Name })
	json.Unmarshal(e.Groups[ServicesGroup].Data, &config.Services)
	json.Unmarshal(e.Groups[LimitsGroup].Data, &config.Limits)
	json.Unmarshal(e.Groups[ClientLimitsGroup].Data, &config.Manners)
	return config
}

// View is the epoch as operators see it. The text they sent is left out, for it
// may hold the keys.
func (e *EpochState) View() *rpc.EpochView {
	view := &rpc.EpochView{Epoch: e.Epoch, Changed: e.LastChange, Manifest: e.Manifest(), Config: e.configWithoutSources(), Targets: map[string][]rpc.Target{}, Shares: map[ids.Name]int{}}
	for name := range e.Groups {
		if service, ok := strings.CutPrefix(name, TargetsPrefix); ok {
			view.Targets[service] = e.Targets(service)
		}
	}
	json.Unmarshal(e.Groups[SharesGroup].Data, &view.Shares)
	for i := range view.Config.Services {
		if view.Config.Services[i].Key != "" {
			view.Config.Services[i].Key = "(kept secret)"
		}
	}
	return view
}

func sortConfig(c *rpc.Config) {
	sort.Slice(c.Mappings, func(i, j int) bool { return c.Mappings[i].Name < c.Mappings[j].Name })
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
func DigestManifest(manifest map[string]rpc.Held) string {
	raw, _ := json.Marshal(manifest)
	return Digest(raw)
}
