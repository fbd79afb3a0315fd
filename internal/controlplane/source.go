// The operators' own text of an item is replicated with the configuration but
// is of no use to a proxy: it lies in groups of its own, which aren't carried,
// and is put back on the items when the configuration is read.
package controlplane

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	SourcesPrefix = "source/"

	sourceBuckets = 16
)

func sourceGroup(item string) string {
	return fmt.Sprintf("%s%02d", SourcesPrefix, ids.Hash("source", item)%sourceBuckets)
}

func routeSourceKey(name string) string   { return "mappings/" + name }
func serviceSourceKey(name string) string { return "services/" + name }

// detachSources takes the texts off a copy of the configuration; they come by item.
func detachSources(config rpc.Configuration) (rpc.Configuration, map[string]json.RawMessage) {
	sources := map[string]json.RawMessage{}
	take := func(item string, source *json.RawMessage) {
		if len(*source) > 0 && string(*source) != "null" {
			sources[item] = *source
		}
		*source = nil
	}
	config.Routes, config.Services = slices.Clone(config.Routes), slices.Clone(config.Services)
	for i := range config.Routes {
		take(routeSourceKey(config.Routes[i].Name), &config.Routes[i].Source)
	}
	for i := range config.Services {
		take(serviceSourceKey(config.Services[i].Name), &config.Services[i].Source)
	}
	if config.ClientLimits != nil {
		manners := *config.ClientLimits
		take(ClientLimitsGroup, &manners.Source)
		config.ClientLimits = &manners
	}
	return config, sources
}

func attachSources(config *rpc.Configuration, sources map[string]json.RawMessage) {
	for i := range config.Routes {
		config.Routes[i].Source = sources[routeSourceKey(config.Routes[i].Name)]
	}
	for i := range config.Services {
		config.Services[i].Source = sources[serviceSourceKey(config.Services[i].Name)]
	}
	if config.ClientLimits != nil {
		config.ClientLimits.Source = sources[ClientLimitsGroup]
	}
}

// sources is the texts of the epoch by item.
func (e *EpochState) sources() map[string]json.RawMessage {
	sources := map[string]json.RawMessage{}
	for name, group := range e.Groups {
		if strings.HasPrefix(name, SourcesPrefix) {
			json.Unmarshal(group.Data, &sources)
		}
	}
	return sources
}

// isOperatorGroup tells the groups that only a change set writes.
func isOperatorGroup(name string) bool {
	return name == ServicesGroup || name == LimitsGroup || name == ClientLimitsGroup || strings.HasPrefix(name, RoutesPrefix) || strings.HasPrefix(name, SourcesPrefix)
}

// encodeGroups cuts a configuration into its groups.
func encodeGroups(config rpc.Configuration) map[string]json.RawMessage {
	groups := map[string]json.RawMessage{}
	put := func(name string, value any) { groups[name], _ = json.Marshal(value) }
	config, sources := detachSources(config)
	put(ServicesGroup, nonNil(config.Services))
	put(LimitsGroup, nonNil(config.Limits))
	if config.ClientLimits != nil {
		put(ClientLimitsGroup, config.ClientLimits)
	}
	routes := map[string][]rpc.Route{}
	for _, m := range config.Routes {
		routes[routeGroup(m.Name)] = append(routes[routeGroup(m.Name)], m)
	}
	for name, some := range routes {
		put(name, some)
	}
	texts := map[string]map[string]json.RawMessage{}
	for item, source := range sources {
		name := sourceGroup(item)
		if texts[name] == nil {
			texts[name] = map[string]json.RawMessage{}
		}
		texts[name][item] = source
	}
	for name, some := range texts {
		put(name, some)
	}
	return groups
}

func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
