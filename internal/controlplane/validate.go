package controlplane

import (
	"fmt"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Bounds of a configuration's values. Times are in milliseconds.
const (
	maxRoutes               = 20_000
	maxServices             = 2_000
	maxNameBytes            = 128
	maxRouteNameBytes       = 256
	maxWeight               = 1_000_000
	maxMillis               = 600_000
	maxLatencyTargetOverrun = 60_000 // a latency target must be below the deadline plus this
	maxPriority             = 100
	maxAttempts             = 16
	maxRetryPercent         = 20
	maxRetryBase            = 60
	minHeaderBytes          = 1 << 10
	maxHeaderBytes          = 1 << 20
)

// validator collects the faults of a configuration, each in the form "path: fault".
type validator struct{ faults []string }

func (v *validator) fail(format string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf(format, args...))
}

// within reports whether a value is between low and high, inclusive, and records a fault
// otherwise.
func (v *validator) within(path string, value, low, high int, unit string) bool {
	if value >= low && value <= high {
		return true
	}
	v.fail("%s: is outside %d to %d%s", path, low, high, unit)
	return false
}

// notNegative records a fault if the value is below zero.
func (v *validator) notNegative(path string, value int64) {
	if value < 0 {
		v.fail("%s: is below zero", path)
	}
}

// isValidName reports whether the name of a service or instance is not empty, not too long,
// and without the forbidden characters. A slash is always one of these, because it separates
// the names in "service/instance".
func isValidName(name, forbidden string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsAny(name, forbidden)
}

// config checks a configuration as a whole.
func (v *validator) config(config *rpc.Configuration) {
	if len(config.Routes) > maxRoutes {
		v.fail("mappings: %d exceed the limit of %d", len(config.Routes), maxRoutes)
	}
	if len(config.Services) > maxServices {
		v.fail("services: %d exceed the limit of %d", len(config.Services), maxServices)
	}
	services := map[string]bool{}
	for _, service := range config.Services {
		v.service(&service)
		services[service.Name] = true
	}
	matches := map[string]string{}
	for _, route := range config.Routes {
		v.route(&route, services)
		v.uniqueMatch(&route, matches)
	}
	for _, limit := range config.Limits {
		v.limit(&limit, services)
	}
	if config.ClientLimits != nil {
		v.clientLimits(config.ClientLimits)
	}
}

func (v *validator) service(service *rpc.Service) {
	if !isValidName(service.Name, "/ \t\r\n") {
		v.fail("services.%s.name: is empty, too long, or holds a slash or a space", service.Name)
	}
	v.notNegative("services."+service.Name+".pipes", int64(service.MaxConnections))
}

func (v *validator) route(route *rpc.Route, services map[string]bool) {
	path := "mappings." + route.Name
	if route.Name == "" || len(route.Name) > maxRouteNameBytes {
		v.fail("%s.name: is empty or too long", path)
	}
	if !strings.HasPrefix(route.Path, "/") {
		v.fail("%s.path: does not begin with a slash", path)
	}
	v.splits(path, route.Services, services)
	v.within(path+".deadline", int(route.DeadlineMillis), 0, maxMillis, " ms")
	if v.within(path+".aim", int(route.LatencyTargetMillis), 0, maxMillis, " ms") && route.LatencyTargetMillis > 0 && route.DeadlineMillis > 0 && route.LatencyTargetMillis >= route.DeadlineMillis+maxLatencyTargetOverrun {
		v.fail("%s.aim: is a minute or more above the deadline", path)
	}
	v.within(path+".priority", int(route.Priority), 0, maxPriority, "")
	v.within(path+".tries", int(route.MaxAttempts), 0, maxAttempts, "")
	if route.Deduplicate != nil && *route.Deduplicate && route.Idempotent {
		v.fail("%s.once: is not allowed for a repeatable mapping", path)
	}
}

// splits checks the weighted services of a route.
func (v *validator) splits(path string, splits []rpc.WeightedService, services map[string]bool) {
	if len(splits) == 0 {
		v.fail("%s.to: is empty", path)
		return
	}
	total := 0
	for i, split := range splits {
		if !services[split.Service] {
			v.fail("%s.to.%d.service: there is no service %q", path, i, split.Service)
		}
		v.within(fmt.Sprintf("%s.to.%d.weight", path, i), split.Weight, 0, maxWeight, "")
		total += split.Weight
	}
	if total == 0 {
		v.fail("%s.to: all weights are zero", path)
	}
}

// uniqueMatch records a fault for a route that has the same host, path and a method in common
// with another one. A route without methods accepts all of them and is compared only with
// other routes without methods. The matches of the route are added to matches.
func (v *validator) uniqueMatch(route *rpc.Route, matches map[string]string) {
	path := "mappings." + route.Name
	methods := route.Methods
	if len(methods) == 0 {
		methods = []string{"*"}
	}
	for i, method := range methods {
		if method == "" || method != strings.ToUpper(method) {
			v.fail("%s.methods.%d: %q is not a method", path, i, method)
		}
		match := route.Host + " " + route.Path + " " + method
		if other, ok := matches[match]; ok {
			v.fail("%s.path: has the same host, path and method as %s", path, other)
		}
		matches[match] = route.Name
	}
}

func (v *validator) limit(limit *rpc.Limit, services map[string]bool) {
	path := "limits." + limit.Service
	if !services[limit.Service] {
		v.fail("%s.service: there is no such service", path)
	}
	v.notNegative(path+".inflight", int64(limit.MaxInFlight))
	if limit.RetryPercent != nil {
		v.within(path+".extra_percent", *limit.RetryPercent, 0, maxRetryPercent, "")
	}
	if limit.RetryBase != nil {
		v.within(path+".extra_base", *limit.RetryBase, 0, maxRetryBase, "")
	}
}

func (v *validator) clientLimits(limits *rpc.ClientLimits) {
	if limits.HeaderBytes != 0 && (limits.HeaderBytes < minHeaderBytes || limits.HeaderBytes > maxHeaderBytes) {
		v.fail("manners.header: is neither 0 nor between %d and %d", minHeaderBytes, maxHeaderBytes)
	}
	v.notNegative("manners.body", limits.BodyBytes)
	v.within("manners.header_time", int(limits.HeaderTimeoutMillis), 0, maxMillis, " ms")
	v.within("manners.idle_time", int(limits.IdleTimeoutMillis), 0, maxMillis, " ms")
}
