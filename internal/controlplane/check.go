// Checking a change set: it is laid over the configuration in force and the
// whole result is checked before anything is proposed. Every fault is named by
// its path; one fault refuses all of it.
package controlplane

import (
	"fmt"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	maxRoutes   = 20000
	maxServices = 2000
)

// MergeChange puts a change set over a configuration and checks the result.
func MergeChange(config rpc.Configuration, change *rpc.ChangeSet) (rpc.Configuration, []string) {
	var paths []string
	fail := func(format string, args ...any) { paths = append(paths, fmt.Sprintf(format, args...)) }
	if change.ID == "" || len(change.ID) > 128 {
		fail("id: is missing or longer than 128 bytes")
	}
	if change.Complete {
		config = rpc.Configuration{}
		if len(change.Remove.Routes)+len(change.Remove.Services)+len(change.Remove.Limits) > 0 {
			fail("drop: has no place in a whole configuration")
		}
	}
	next := rpc.Configuration{}
	next.Routes = mergeItems(config.Routes, change.Put.Routes, change.Remove.Routes, func(m rpc.Route) string { return m.Name }, "mappings", fail)
	next.Services = mergeItems(config.Services, change.Put.Services, change.Remove.Services, func(s rpc.Service) string { return s.Name }, "services", fail)
	next.Limits = mergeItems(config.Limits, change.Put.Limits, change.Remove.Limits, func(l rpc.Limit) string { return l.Service }, "limits", fail)
	next.ClientLimits = config.ClientLimits
	if change.Put.ClientLimits != nil {
		next.ClientLimits = change.Put.ClientLimits
	}
	sortConfig(&next)
	validateConfig(&next, fail)
	return next, paths
}

func mergeItems[T any](old, put []T, drop []string, name func(T) string, kind string, fail func(string, ...any)) []T {
	there, gone := map[string]bool{}, map[string]bool{}
	for _, item := range old {
		there[name(item)] = true
	}
	for i, d := range drop {
		gone[d] = true
		if !there[d] {
			fail("drop.%s.%d: there is no %q", kind, i, d)
		}
	}
	fresh := map[string]bool{}
	for i, item := range put {
		if fresh[name(item)] {
			fail("put.%s.%d: %q stands twice", kind, i, name(item))
		}
		if gone[name(item)] {
			fail("put.%s.%d: %q is dropped as well", kind, i, name(item))
		}
		fresh[name(item)] = true
	}
	var next []T
	for _, item := range old {
		if !gone[name(item)] && !fresh[name(item)] {
			next = append(next, item)
		}
	}
	return append(next, put...)
}

func validateConfig(c *rpc.Configuration, fail func(string, ...any)) {
	if len(c.Routes) > maxRoutes {
		fail("mappings: %d are more than %d", len(c.Routes), maxRoutes)
	}
	if len(c.Services) > maxServices {
		fail("services: %d are more than %d", len(c.Services), maxServices)
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" || strings.ContainsAny(s.Name, "/ \t\r\n") || len(s.Name) > 128 {
			fail("services.%s.name: is empty, too long, or holds a slash or a space", s.Name)
		}
		if s.MaxConnections < 0 {
			fail("services.%s.pipes: is below zero", s.Name)
		}
		services[s.Name] = true
	}
	taken := map[string]string{}
	for _, m := range c.Routes {
		at := "mappings." + m.Name
		if m.Name == "" || len(m.Name) > 256 {
			fail("%s.name: is empty or too long", at)
		}
		if !strings.HasPrefix(m.Path, "/") {
			fail("%s.path: does not begin with a slash", at)
		}
		if len(m.Services) == 0 {
			fail("%s.to: is empty", at)
		}
		total := 0
		for i, split := range m.Services {
			if !services[split.Service] {
				fail("%s.to.%d.service: there is no service %q", at, i, split.Service)
			}
			if split.Weight < 0 || split.Weight > 1_000_000 {
				fail("%s.to.%d.weight: is outside 0 to 1000000", at, i)
			}
			total += split.Weight
		}
		if len(m.Services) > 0 && total == 0 {
			fail("%s.to: all weights are zero", at)
		}
		if m.DeadlineMillis < 0 || m.DeadlineMillis > 600_000 {
			fail("%s.deadline: is outside 0 to 600000 ms", at)
		}
		if m.LatencyTargetMillis < 0 || m.LatencyTargetMillis > 600_000 {
			fail("%s.aim: is outside 0 to 600000 ms", at)
		} else if m.LatencyTargetMillis > 0 && m.DeadlineMillis > 0 && m.LatencyTargetMillis >= m.DeadlineMillis+60_000 {
			fail("%s.aim: is a minute or more above the deadline", at)
		}
		if m.Priority < 0 || m.Priority > 100 {
			fail("%s.priority: is outside 0 to 100", at)
		}
		if m.MaxAttempts < 0 || m.MaxAttempts > 16 {
			fail("%s.tries: is outside 0 to 16", at)
		}
		if m.Deduplicate != nil && *m.Deduplicate && m.Idempotent {
			fail("%s.once: makes no sense for a repeatable mapping", at)
		}
		methods := m.Methods
		if len(methods) == 0 {
			methods = []string{"*"}
		}
		for i, method := range methods {
			if method == "" || method != strings.ToUpper(method) {
				fail("%s.methods.%d: %q is not a method", at, i, method)
			}
			key := m.Host + " " + m.Path + " " + method
			if other, ok := taken[key]; ok {
				fail("%s.path: is the same as that of %s", at, other)
			}
			taken[key] = m.Name
		}
	}
	for _, l := range c.Limits {
		if !services[l.Service] {
			fail("limits.%s.service: there is no such service", l.Service)
		}
		if l.MaxInFlight < 0 {
			fail("limits.%s.inflight: is below zero", l.Service)
		}
		if l.RetryPercent != nil && (*l.RetryPercent < 0 || *l.RetryPercent > 20) {
			fail("limits.%s.extra_percent: is outside 0 to 20", l.Service)
		}
		if l.RetryBase != nil && (*l.RetryBase < 0 || *l.RetryBase > 60) {
			fail("limits.%s.extra_base: is outside 0 to 60", l.Service)
		}
	}
	validateClientLimits(c.ClientLimits, fail)
}

func validateClientLimits(m *rpc.ClientLimits, fail func(string, ...any)) {
	if m == nil {
		return
	}
	if m.HeaderBytes != 0 && (m.HeaderBytes < 1<<10 || m.HeaderBytes > 1<<20) {
		fail("manners.header: is neither 0 nor within 1024 to 1048576")
	}
	if m.BodyBytes < 0 {
		fail("manners.body: is below zero")
	}
	if m.HeaderTimeoutMillis < 0 || m.HeaderTimeoutMillis > 600_000 {
		fail("manners.header_time: is outside 0 to 600000 ms")
	}
	if m.IdleTimeoutMillis < 0 || m.IdleTimeoutMillis > 600_000 {
		fail("manners.idle_time: is outside 0 to 600000 ms")
	}
}
