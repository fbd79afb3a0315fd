package gatewayapi

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sumactrestle/sumactrestle/internal/controlplane"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const supported = `
apiVersion: gateway.networking.k8s.io/v1
kind: HTTPRoute
metadata: {name: rates, annotations: {sumactrestle/repeatable: "true"}}
spec:
  hostnames: [rates.example]
  rules:
    - matches: [{path: {type: PathPrefix, value: /rates}, method: GET}]
      timeouts: {request: 3s}
      backendRefs: [{name: rates, weight: 9}, {name: rates2, weight: 1}]
---
apiVersion: gateway.networking.k8s.io/v1
kind: HTTPRoute
metadata: {name: orders, annotations: {sumactrestle/once: "true"}}
spec:
  rules: [{backendRefs: [{name: bookings}]}]
`

func TestRead_RoutesAndServices(t *testing.T) {
	change, err := Read([]byte(supported))
	if err != nil {
		t.Fatal(err)
	}
	want := rpc.Configuration{
		Routes: []rpc.Route{
			{Name: "rates/0/0", Host: "rates.example", Path: "/rates", Methods: []string{"GET"}, Services: []rpc.WeightedService{{Service: "rates", Weight: 9}, {Service: "rates2", Weight: 1}}, Idempotent: true, DeadlineMillis: 3000},
			{Name: "orders/0/0", Path: "/", Services: []rpc.WeightedService{{Service: "bookings", Weight: 1}}, Deduplicate: new(true)},
		},
		Services: []rpc.Service{{Name: "bookings"}, {Name: "rates"}, {Name: "rates2"}},
	}
	if diff := cmp.Diff(want, change.Put); diff != "" {
		t.Fatal(diff)
	}
	change.ID = "x"
	if _, paths := controlplane.MergeChange(rpc.Configuration{}, change); len(paths) > 0 {
		t.Fatal(paths)
	}
}

func TestRead_RejectsUnsupportedFieldsByPath(t *testing.T) {
	_, err := Read([]byte(`
apiVersion: gateway.networking.k8s.io/v1
kind: HTTPRoute
metadata: {name: a}
spec:
  hostnames: ["*.example"]
  rules:
    - matches: [{path: {type: Exact, value: /x}, headers: [{name: a, value: b}]}]
      filters: [{type: RequestMirror}]
      backendRefs: [{name: s, namespace: other}]
---
apiVersion: v1
kind: HTTPRoute
metadata: {name: b}
---
apiVersion: gateway.networking.k8s.io/v1
kind: HTTPRoute
metadata: {name: c}
spec: {rulez: []}
`))
	want := []string{
		`objects.0.spec.hostnames.0: wildcards are not supported`,
		`objects.0.spec.rules.0.filters: are not supported`,
		`objects.0.spec.rules.0.backendRefs.0: only a Service in the same namespace, without filters, is supported`,
		`objects.0.spec.rules.0.matches.0.headers: are not supported`,
		`objects.0.spec.rules.0.matches.0.path.type: Exact is not supported; use PathPrefix`,
		`objects.1.kind: v1 HTTPRoute is not supported; use HTTPRoute gateway.networking.k8s.io/v1`,
		`objects.2: error unmarshaling JSON: while decoding JSON: json: unknown field "rulez"`,
	}
	if err == nil {
		t.Fatal("unsupported fields were accepted")
	}
	if diff := cmp.Diff(want, errcode.From(err).Paths); diff != "" {
		t.Fatal(diff)
	}
}
