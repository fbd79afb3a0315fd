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
	Sources = "source/"

	sourceBuckets = 16
)

func sourceBucket(item string) string {
	return fmt.Sprintf("%s%02d", Sources, ids.Score("source", item)%sourceBuckets)
}

func mappingItem(name string) string { return "mappings/" + name }
func serviceItem(name string) string { return "services/" + name }

// detach takes the texts off a copy of the configuration; they come by item.
func detach(config rpc.Config) (rpc.Config, map[string]json.RawMessage) {
	sources := map[string]json.RawMessage{}
	take := func(item string, source *json.RawMessage) {
		if len(*source) > 0 && string(*source) != "null" {
			sources[item] = *source
		}
		*source = nil
	}
	config.Mappings, config.Services = slices.Clone(config.Mappings), slices.Clone(config.Services)
	for i := range config.Mappings {
		take(mappingItem(config.Mappings[i].Name), &config.Mappings[i].Source)
	}
	for i := range config.Services {
		take(serviceItem(config.Services[i].Name), &config.Services[i].Source)
	}
	if config.Manners != nil {
		manners := *config.Manners
		take(Manners, &manners.Source)
		config.Manners = &manners
	}
	return config, sources
}

func attach(config *rpc.Config, sources map[string]json.RawMessage) {
	for i := range config.Mappings {
		config.Mappings[i].Source = sources[mappingItem(config.Mappings[i].Name)]
	}
	for i := range config.Services {
		config.Services[i].Source = sources[serviceItem(config.Services[i].Name)]
	}
	if config.Manners != nil {
		config.Manners.Source = sources[Manners]
	}
}

// sources is the texts of the epoch by item.
func (s *Sheet) sources() map[string]json.RawMessage {
	sources := map[string]json.RawMessage{}
	for name, group := range s.Groups {
		if strings.HasPrefix(name, Sources) {
			json.Unmarshal(group.Data, &sources)
		}
	}
	return sources
}

// isOperators tells the groups that only a change set writes.
func isOperators(name string) bool {
	return name == Services || name == Limits || name == Manners || strings.HasPrefix(name, Routes) || strings.HasPrefix(name, Sources)
}

// groupsOf cuts a configuration into its groups.
func groupsOf(config rpc.Config) map[string]json.RawMessage {
	groups := map[string]json.RawMessage{}
	put := func(name string, value any) { groups[name], _ = json.Marshal(value) }
	config, sources := detach(config)
	put(Services, orEmpty(config.Services))
	put(Limits, orEmpty(config.Limits))
	if config.Manners != nil {
		put(Manners, config.Manners)
	}
	routes := map[string][]rpc.Mapping{}
	for _, m := range config.Mappings {
		routes[bucket(m.Name)] = append(routes[bucket(m.Name)], m)
	}
	for name, some := range routes {
		put(name, some)
	}
	texts := map[string]map[string]json.RawMessage{}
	for item, source := range sources {
		name := sourceBucket(item)
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

func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
