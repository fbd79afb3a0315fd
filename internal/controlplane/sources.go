package controlplane

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Each item of the configuration may have a source: the operators' original text of it.
// Proxies don't need the sources, so these are stored in separate groups that are replicated
// but not distributed, and are attached to the items when the configuration is read. The key
// of a source is "mappings/<name>", "services/<name>" or ClientLimitsGroup.

func routeSourceKey(name string) string   { return "mappings/" + name }
func serviceSourceKey(name string) string { return "services/" + name }

// detachSources returns a copy of the configuration without sources, and the sources by key.
// It does not modify its argument.
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

// attachSources sets the sources of a configuration's items.
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

// sources returns the epoch's sources by key. The error is a *DamagedGroupError.
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
