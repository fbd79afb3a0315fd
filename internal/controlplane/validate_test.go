package controlplane

import (
	"strings"
	"testing"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func TestMergeChange_NamesEachFaultByItsPath(t *testing.T) {
	route := func(m rpc.Route) rpc.Configuration {
		m.Name, m.Path, m.Services = "m", "/", []rpc.WeightedService{{Service: "s", Weight: 1}}
		return rpc.Configuration{Routes: []rpc.Route{m}, Services: []rpc.Service{{Name: "s"}}}
	}
	service := func(s rpc.Service) rpc.Configuration {
		s.Name = "s"
		return rpc.Configuration{Services: []rpc.Service{s}}
	}
	clientLimits := func(m rpc.ClientLimits) rpc.Configuration { return rpc.Configuration{ClientLimits: &m} }
	for i, c := range []struct {
		put  rpc.Configuration
		path string
	}{
		{route(rpc.Route{}), ""},
		{route(rpc.Route{MaxAttempts: 16, Priority: 100, LatencyTargetMillis: 600_000}), ""},
		{route(rpc.Route{MaxAttempts: 17}), "mappings.m.tries"},
		{route(rpc.Route{MaxAttempts: -1}), "mappings.m.tries"},
		{route(rpc.Route{Priority: 101}), "mappings.m.priority"},
		{route(rpc.Route{Priority: -1}), "mappings.m.priority"},
		{route(rpc.Route{LatencyTargetMillis: 600_001}), "mappings.m.aim"},
		{route(rpc.Route{LatencyTargetMillis: -1}), "mappings.m.aim"},
		{route(rpc.Route{LatencyTargetMillis: 60_999, DeadlineMillis: 1000}), ""},
		{route(rpc.Route{LatencyTargetMillis: 61_000, DeadlineMillis: 1000}), "mappings.m.aim"},
		{service(rpc.Service{MaxConnections: 0}), ""},
		{service(rpc.Service{MaxConnections: -1}), "services.s.pipes"},
		{clientLimits(rpc.ClientLimits{}), ""},
		{clientLimits(rpc.ClientLimits{HeaderBytes: 1 << 10, BodyBytes: 1 << 40, HeaderTimeoutMillis: 600_000, IdleTimeoutMillis: 600_000}), ""},
		{clientLimits(rpc.ClientLimits{HeaderBytes: 1 << 20}), ""},
		{clientLimits(rpc.ClientLimits{HeaderBytes: 1<<10 - 1}), "manners.header"},
		{clientLimits(rpc.ClientLimits{HeaderBytes: 1<<20 + 1}), "manners.header"},
		{clientLimits(rpc.ClientLimits{HeaderBytes: -1}), "manners.header"},
		{clientLimits(rpc.ClientLimits{BodyBytes: -1}), "manners.body"},
		{clientLimits(rpc.ClientLimits{HeaderTimeoutMillis: -1}), "manners.header_time"},
		{clientLimits(rpc.ClientLimits{HeaderTimeoutMillis: 600_001}), "manners.header_time"},
		{clientLimits(rpc.ClientLimits{IdleTimeoutMillis: -1}), "manners.idle_time"},
		{clientLimits(rpc.ClientLimits{IdleTimeoutMillis: 600_001}), "manners.idle_time"},
	} {
		_, faults := MergeChange(rpc.Configuration{}, &rpc.ChangeSet{ID: "c", Put: c.put})
		if c.path == "" && len(faults) != 0 || c.path != "" && (len(faults) != 1 || !strings.HasPrefix(faults[0], c.path+": ")) {
			t.Errorf("%d: %q, want %q", i, faults, c.path)
		}
	}
}
