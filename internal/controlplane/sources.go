package controlplane

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Each item of the configuration may carry the operators' own text of it. The texts are
// replicated with the configuration but are of no use to a proxy: they lie in groups of
// their own, which are not distributed, and are put back on the items when the
// configuration is read. They are kept by item: "mappings/<name>", "services/<name>" or
// the name of the group of client limits.

func routeSourceKey(name string) string   { return "mappings/" + name }
func serviceSourceKey(name string) string { return "services/" + name }

// detachSources takes the texts off a copy of the configuration and returns them by item.
// The configuration given is not written to.
func detachSources(config rpc.Configuration) (rpc.Configuration, map[string]json.RawMessage) {
	sources := map[string]json.RawMessage{}
	detach := func(item string, source *json.RawMessage) {
		if len(*source) > 0 && string(*source) != "null" {
			sources[item] = *source
		}
		*source = nil
	}
	config.Routes, config.Services = slices.Clone(config.Routes), slices.Clone(config.Services)
	for i := range config.Routes {
		detach(routeSourceKey(config.Routes[i].Name), &config.Routes[i].Source)
	}
	for i := range config.Services {
		detach(serviceSourceKey(config.Services[i].Name), &config.Services[i].Source)
	}
	if config.ClientLimits != nil {
		limits := *config.ClientLimits
		detach(ClientLimitsGroup, &limits.Source)
		config.ClientLimits = &limits
	}
	return config, sources
}

// attachSources puts the texts back on the items of a configuration.
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
func (e *EpochState) sources() (map[string]json.RawMessage, error) {
	sources := map[string]json.RawMessage{}
	for name := range e.Groups {
		if strings.HasPrefix(name, SourcesPrefix) {
			if err := e.decode(name, &sources); err != nil {
				return nil, err
			}
		}
	}
	return sources, nil
}
