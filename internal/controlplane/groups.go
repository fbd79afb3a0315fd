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

// An epoch consists of groups, which are replicated, distributed and compared individually.
// These are the names, or the prefixes of the names, of groups.
const (
	// RoutesPrefix is the prefix of the groups of routes. Routes are distributed over
	// several groups by a hash of their names, so that a small change to a large
	// configuration sends little data.
	RoutesPrefix = "routes/"
	// ServicesGroup contains the services.
	ServicesGroup = "services"
	// LimitsGroup contains the load limits of services.
	LimitsGroup = "limits"
	// SharesGroup contains each proxy's strength. Limits are divided among the proxies in
	// proportion to it.
	SharesGroup = "shares"
	// ClientLimitsGroup contains the limits on clients' requests. It is optional.
	ClientLimitsGroup = "manners"
	// TargetsPrefix is the prefix of the target lists and is followed by the service name.
	TargetsPrefix = "targets/"
	// SourcesPrefix is the prefix of the groups of sources (see sources.go).
	SourcesPrefix = "source/"

	routeGroupCount  = 16
	sourceGroupCount = 16
)

// routeGroup returns the name of the group that contains a route.
func routeGroup(route string) string {
	return fmt.Sprintf("%s%02d", RoutesPrefix, ids.Hash("mapping", route)%routeGroupCount)
}

// sourceGroup returns the name of the group that contains the source of an item.
func sourceGroup(item string) string {
	return fmt.Sprintf("%s%02d", SourcesPrefix, ids.Hash("source", item)%sourceGroupCount)
}

// isOperatorGroup reports whether the group is written only by change sets. The planner
// writes the other groups: the target lists and the shares.
func isOperatorGroup(name string) bool {
	return name == ServicesGroup || name == LimitsGroup || name == ClientLimitsGroup || strings.HasPrefix(name, RoutesPrefix) || strings.HasPrefix(name, SourcesPrefix)
}

// encodeGroups encodes a configuration as groups, by group name.
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

// nonNil returns an empty list for a nil one, so that it is encoded as [] and not as null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// mustMarshal encodes a value whose type can always be encoded: one without raw JSON and
// floating-point numbers.
func mustMarshal(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// Digest returns the MD5 digest, in hexadecimal, that identifies a version of a group. It
// detects accidental differences and is no protection against forgery.
func Digest(data []byte) string {
	sum := md5.Sum(data)
	return hex.EncodeToString(sum[:])
}

// DigestManifest returns the digest of a manifest.
func DigestManifest(manifest map[string]rpc.GroupVersion) string {
	return Digest(mustMarshal(manifest))
}
