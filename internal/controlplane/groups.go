package controlplane

import (
	"crypto/md5"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// An epoch is cut into groups, which are replicated, distributed and compared one by one.
// These are their names and prefixes of names.
const (
	// RoutesPrefix begins the groups of routes. Routes are spread over a few groups by a
	// hash of their names, so that a small change to a large configuration moves little.
	RoutesPrefix = "routes/"
	// ServicesGroup lists the services.
	ServicesGroup = "services"
	// LimitsGroup lists the load limits of services.
	LimitsGroup = "limits"
	// SharesGroup maps each proxy to its strength, by which limits are divided.
	SharesGroup = "shares"
	// ClientLimitsGroup holds the limits on clients' requests, if the operators set any.
	ClientLimitsGroup = "manners"
	// TargetsPrefix begins the target lists; the rest of the name is the service.
	TargetsPrefix = "targets/"
	// SourcesPrefix begins the groups of the operators' own texts (see sources.go).
	SourcesPrefix = "source/"

	routeGroups  = 16
	sourceGroups = 16
)

// routeGroup is the group that a route lies in.
func routeGroup(route string) string {
	return fmt.Sprintf("%s%02d", RoutesPrefix, ids.Hash("mapping", route)%routeGroups)
}

// sourceGroup is the group that the text of an item lies in.
func sourceGroup(item string) string {
	return fmt.Sprintf("%s%02d", SourcesPrefix, ids.Hash("source", item)%sourceGroups)
}

// isOperatorGroup tells whether only a change set writes the group. The other groups, the
// targets and the shares, are the planner's.
func isOperatorGroup(name string) bool {
	return name == ServicesGroup || name == LimitsGroup || name == ClientLimitsGroup || strings.HasPrefix(name, RoutesPrefix) || strings.HasPrefix(name, SourcesPrefix)
}

// encodeGroups cuts a configuration into its groups.
func encodeGroups(config rpc.Configuration) (map[string]json.RawMessage, error) {
	config, sources := detachSources(config)
	values := map[string]any{ServicesGroup: nonNil(config.Services), LimitsGroup: nonNil(config.Limits)}
	if config.ClientLimits != nil {
		values[ClientLimitsGroup] = config.ClientLimits
	}
	routes := map[string][]rpc.Route{}
	for _, route := range config.Routes {
		name := routeGroup(route.Name)
		routes[name] = append(routes[name], route)
	}
	for name, list := range routes {
		values[name] = list
	}
	texts := map[string]map[string]json.RawMessage{}
	for item, source := range sources {
		name := sourceGroup(item)
		if texts[name] == nil {
			texts[name] = map[string]json.RawMessage{}
		}
		texts[name][item] = source
	}
	for name, texts := range texts {
		values[name] = texts
	}
	groups := make(map[string]json.RawMessage, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		data, err := json.Marshal(values[name])
		if err != nil {
			return nil, fmt.Errorf("group %q: %w", name, err)
		}
		groups[name] = data
	}
	return groups, nil
}

// nonNil makes an absent list an empty one, so that it is encoded as [] and not as null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// mustMarshal encodes values of types that always can be encoded: those that hold neither
// raw JSON nor floating-point numbers.
func mustMarshal(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// Digest is the MD5 digest, in hexadecimal, by which the distribution tells versions of a
// group apart. It guards against mistakes, not against forgery.
func Digest(data []byte) string {
	sum := md5.Sum(data)
	return hex.EncodeToString(sum[:])
}

// DigestManifest is one digest over the digests and revisions of all groups of a manifest.
func DigestManifest(manifest map[string]rpc.GroupVersion) string {
	return Digest(mustMarshal(manifest))
}
