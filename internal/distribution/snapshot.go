package distribution

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Snapshot is the decoded configuration of one epoch. It is immutable, including its maps and
// slices: lists of unchanged groups are shared with the previous snapshot.
type Snapshot struct {
	Epoch        ids.Epoch
	Manifest     map[string]rpc.GroupVersion // all groups, by name
	Routes       map[string][]rpc.Route      // by group
	Services     map[string]rpc.Service      // by name
	Limits       map[string]rpc.Limit        // by service
	ClientLimits *rpc.ClientLimits           // nil if none are configured
	Targets      map[string][]rpc.Target     // by service
	Shares       map[ids.NodeName]int        // each proxy's quota share

	groups         map[string]rpc.Group
	manifestDigest string
}

// newSnapshot decodes the groups of an epoch. It reuses the route and target lists that are
// unchanged since the previous snapshot, which may be nil. It returns errcode.InvalidMessage
// if a group cannot be decoded.
func newSnapshot(epoch ids.Epoch, manifest map[string]rpc.GroupVersion, groups map[string]rpc.Group, previous *Snapshot) (*Snapshot, error) {
	if previous == nil {
		previous = &Snapshot{}
	}
	s := &Snapshot{
		Epoch:          epoch,
		Manifest:       maps.Clone(manifest),
		Routes:         map[string][]rpc.Route{},
		Services:       map[string]rpc.Service{},
		Limits:         map[string]rpc.Limit{},
		Targets:        map[string][]rpc.Target{},
		Shares:         map[ids.NodeName]int{},
		groups:         groups,
		manifestDigest: controlplane.DigestManifest(manifest),
	}
	var services []rpc.Service
	var limits []rpc.Limit
	for name, value := range map[string]any{
		controlplane.ServicesGroup:     &services,
		controlplane.LimitsGroup:       &limits,
		controlplane.SharesGroup:       &s.Shares,
		controlplane.ClientLimitsGroup: &s.ClientLimits,
	} {
		if err := s.decode(name, value); err != nil {
			return nil, err
		}
	}
	for _, service := range services {
		s.Services[service.Name] = service
	}
	for _, limit := range limits {
		s.Limits[limit.Service] = limit
	}
	var err error
	for name := range groups {
		if strings.HasPrefix(name, controlplane.RoutesPrefix) {
			if s.Routes[name], err = decodeList(s, name, previous, previous.Routes[name]); err != nil {
				return nil, err
			}
		} else if service, ok := strings.CutPrefix(name, controlplane.TargetsPrefix); ok {
			if s.Targets[service], err = decodeList(s, name, previous, previous.Targets[service]); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

// decodeList returns the decoded list of a group, or previousList if the group's digest is
// unchanged.
func decodeList[T any](s *Snapshot, name string, previous *Snapshot, previousList []T) (list []T, err error) {
	if group, ok := previous.groups[name]; ok && group.Digest == s.groups[name].Digest {
		return previousList, nil
	}
	err = s.decode(name, &list)
	return list, err
}

// decode unmarshals the named group into value. If there is no such group, value is unchanged.
func (s *Snapshot) decode(name string, value any) error {
	group, ok := s.groups[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(group.Data, value); err != nil {
		return errcode.New(errcode.InvalidMessage, "group %s: %v", name, err)
	}
	return nil
}
