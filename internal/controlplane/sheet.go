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

// Find is the receipt of an accepted change set.
func (s *Sheet) Find(id string) (rpc.ChangeReceipt, bool) {
	for i := len(s.Changes) - 1; i >= 0; i-- {
		if s.Changes[i].Id == id {
			return s.Changes[i], true
		}
	}
	return rpc.ChangeReceipt{}, false
}

// Judge tells whether a change set has its place after this epoch. A repeat
// gets the first receipt, and no receipt means that the set is a new one.
func (s *Sheet) Judge(change *rpc.Change, digest string) (*rpc.ChangeReceipt, error) {
	if first, ok := s.Find(change.Id); ok {
		if first.Digest != digest {
			return nil, errcode.New(errcode.ChangeReused, "%q", change.Id)
		}
		return &first, nil
	}
	if change.Over != nil && *change.Over != s.Version {
		return nil, errcode.New(errcode.ChangeConflict, "version %d was named, version %d is in force", *change.Over, s.Version)
	}
	if change.Version > 0 && change.Version <= s.Version {
		return nil, errcode.At(errcode.BadChange, []string{fmt.Sprintf("version: is not above %d, which is in force", s.Version)})
	}
	if change.Over == nil && (change.Base < s.Changed || change.Base > s.Epoch) {
		return nil, errcode.New(errcode.ChangeConflict, "epoch %d was named, the last change set was accepted in epoch %d, epoch %d is in force", change.Base, s.Changed, s.Epoch)
	}
	return nil, nil
}

// Has tells whether there is a service of that name.
func (s *Sheet) Has(service string) bool {
	_, ok := s.Groups[Targets+service]
	return ok
}

// Targets is a service's target list.
func (s *Sheet) Targets(service string) (list []rpc.Target) {
	json.Unmarshal(s.Groups[Targets+service].Data, &list)
	return list
}

// Carried is a group that goes to the proxies.
func (s *Sheet) Carried(name string) (rpc.Group, bool) {
	if strings.HasPrefix(name, Sources) {
		return rpc.Group{}, false
	}
	group, ok := s.Groups[name]
	return group, ok
}

// Manifest names every group that goes to the proxies, with its digest and stamp.
func (s *Sheet) Manifest() map[string]rpc.Held {
	manifest := make(map[string]rpc.Held, len(s.Groups))
	for name := range s.Groups {
		if group, ok := s.Carried(name); ok {
			manifest[name] = rpc.Held{Digest: group.Digest, Stamp: group.Stamp}
		}
	}
	return manifest
}

// Config is the operators' part of the epoch, with the text they sent.
func (s *Sheet) Config() rpc.Config {
	config := s.bare()
	attach(&config, s.sources())
	return config
}

func (s *Sheet) bare() (config rpc.Config) {
	for name, group := range s.Groups {
		if strings.HasPrefix(name, Routes) {
			var some []rpc.Mapping
			json.Unmarshal(group.Data, &some)
			config.Mappings = append(config.Mappings, some...)
		}
	}
	sort.Slice(config.Mappings, func(i, j int) bool { return config.Mappings[i].Name < config.Mappings[j].Name })
	json.Unmarshal(s.Groups[Services].Data, &config.Services)
	json.Unmarshal(s.Groups[Limits].Data, &config.Limits)
	json.Unmarshal(s.Groups[Manners].Data, &config.Manners)
	return config
}

// View is the epoch as operators see it. The text they sent is left out, for it
// may hold the keys.
func (s *Sheet) View() *rpc.EpochView {
	view := &rpc.EpochView{Epoch: s.Epoch, Changed: s.Changed, Manifest: s.Manifest(), Config: s.bare(), Targets: map[string][]rpc.Target{}, Shares: map[ids.Name]int{}}
	for name := range s.Groups {
		if service, ok := strings.CutPrefix(name, Targets); ok {
			view.Targets[service] = s.Targets(service)
		}
	}
	json.Unmarshal(s.Groups[Shares].Data, &view.Shares)
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

// Sum is one digest over the digests and stamps of all that goes to the proxies.
func (s *Sheet) Sum() string {
	if sum := s.sum.Load(); sum != nil {
		return *sum
	}
	sum := SumOf(s.Manifest())
	s.sum.Store(&sum)
	return sum
}

// SumOf is one digest over a manifest.
func SumOf(manifest map[string]rpc.Held) string {
	raw, _ := json.Marshal(manifest)
	return Digest(raw)
}
