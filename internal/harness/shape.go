package harness

import (
	"maps"
	"slices"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// Load describes one service with its servers and its request rate.
type Load struct {
	Service           string
	Servers           int
	RequestsPerSecond float64 // of all clients together, before it is multiplied by RateFactor
	Idempotent        bool    // requests are GETs; otherwise POSTs, executed at most once
	BodyBytes         int     // of a POST
}

// Shape describes the size and the load of a deployment.
type Shape struct {
	Name                  string
	Cores, Proxies, Zones int
	Loads                 []Load
	CoordinationPerSecond float64 // calls for counters and keys
	RetryShare            float64 // probability that a client retries a failed order at once
	ProxyCPU, CoreCPU     float64 // processors per machine; applied only if the run throttles
}

// Shapes holds the available deployments by name: those of the two users at their current rates,
// and a small one.
var Shapes = map[string]Shape{
	"quoteline": {
		Name: "quoteline", Cores: 5, Proxies: 9, Zones: 3, CoordinationPerSecond: 40, ProxyCPU: 0.25, CoreCPU: 0.25,
		Loads: []Load{
			{Service: "rates", Servers: 12, RequestsPerSecond: 200, Idempotent: true},
			{Service: "bookings", Servers: 6, RequestsPerSecond: 65, BodyBytes: 400},
			{Service: "slots", Servers: 10, RequestsPerSecond: 70, Idempotent: true},
		},
	},
	"municipality": {
		Name: "municipality", Cores: 3, Proxies: 12, Zones: 3, CoordinationPerSecond: 110, RetryShare: 0.2, ProxyCPU: 1.0 / 3, CoreCPU: 1,
		Loads: []Load{
			{Service: "status", Servers: 21, RequestsPerSecond: 570, Idempotent: true},
			{Service: "signing", Servers: 12, RequestsPerSecond: 260, BodyBytes: 600},
			{Service: "uploads", Servers: 6, RequestsPerSecond: 60, BodyBytes: 256 << 10},
		},
	},
	"small": {
		Name: "small", Cores: 3, Proxies: 2, Zones: 3, CoordinationPerSecond: 20,
		Loads: []Load{
			{Service: "rates", Servers: 3, RequestsPerSecond: 50, Idempotent: true},
			{Service: "bookings", Servers: 3, RequestsPerSecond: 20, BodyBytes: 400},
		},
	},
}

// FindShape returns the shape with the name. If there is none, it returns errcode.InvalidCall with
// the known names.
func FindShape(name string) (Shape, error) {
	shape, ok := Shapes[name]
	if !ok {
		return Shape{}, errcode.New(errcode.InvalidCall, "unknown shape %q; known shapes: %v", name, slices.Sorted(maps.Keys(Shapes)))
	}
	return shape, nil
}
