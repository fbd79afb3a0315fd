// Package guise reads Kubernetes-style objects as configuration: HTTPRoutes of
// the gateway API, by its own types, turned into the mappings and services of a
// change set. What has no counterpart here is refused by its path, never passed
// over.
package gatewayapi

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"time"

	gateway "sigs.k8s.io/gateway-api/apis/v1"
	"sigs.k8s.io/yaml"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Annotations by which a route says what the gateway API has no word for.
const (
	Repeatable = "sumactrestle/repeatable"
	Once       = "sumactrestle/once"
)

type reader struct {
	change   rpc.Change
	services map[string]bool
	paths    []string
}

func (r *reader) fail(path, format string, args ...any) {
	r.paths = append(r.paths, path+": "+fmt.Sprintf(format, args...))
}

// Read turns a file of objects into a change set without id and base.
func Read(raw []byte) (*rpc.Change, error) {
	r := &reader{services: map[string]bool{}}
	for i, document := range bytes.Split(raw, []byte("\n---")) {
		document = bytes.TrimPrefix(bytes.TrimSpace(document), []byte("---"))
		if len(bytes.TrimSpace(document)) > 0 {
			r.object(fmt.Sprintf("objects.%d", i), document)
		}
	}
	for name := range r.services {
		r.change.Put.Services = append(r.change.Put.Services, rpc.Service{Name: name})
	}
	sort.Slice(r.change.Put.Services, func(i, j int) bool { return r.change.Put.Services[i].Name < r.change.Put.Services[j].Name })
	if len(r.change.Put.Mappings) == 0 && len(r.paths) == 0 {
		r.fail("objects", "there is none")
	}
	if len(r.paths) > 0 {
		return nil, errcode.At(errcode.BadChange, r.paths)
	}
	return &r.change, nil
}

func (r *reader) object(at string, document []byte) {
	var route gateway.HTTPRoute
	if err := yaml.UnmarshalStrict(document, &route); err != nil {
		r.fail(at, "%v", err)
		return
	}
	if route.Kind != "HTTPRoute" || route.APIVersion != gateway.GroupVersion.String() {
		r.fail(at+".kind", "%s %s is not taken; HTTPRoute %s is", route.APIVersion, route.Kind, gateway.GroupVersion)
		return
	}
	if route.Name == "" {
		r.fail(at+".metadata.name", "is missing")
	}
	hosts := route.Spec.Hostnames
	if len(hosts) == 0 {
		hosts = []gateway.Hostname{""}
	}
	for i, host := range hosts {
		if strings.Contains(string(host), "*") {
			r.fail(fmt.Sprintf("%s.spec.hostnames.%d", at, i), "wildcards are not taken")
		}
	}
	for i, rule := range route.Spec.Rules {
		r.rule(fmt.Sprintf("%s.spec.rules.%d", at, i), &route, i, rule, hosts)
	}
}

func (r *reader) rule(at string, route *gateway.HTTPRoute, no int, rule gateway.HTTPRouteRule, hosts []gateway.Hostname) {
	if len(rule.Filters) > 0 {
		r.fail(at+".filters", "are not taken")
	}
	if rule.Retry != nil {
		r.fail(at+".retry", "is not taken; the annotation %s is", Repeatable)
	}
	if rule.SessionPersistence != nil {
		r.fail(at+".sessionPersistence", "is not taken")
	}
	base := rpc.Mapping{Repeatable: route.Annotations[Repeatable] == "true"}
	if word, ok := route.Annotations[Once]; ok {
		isOnce := word == "true"
		base.Once = &isOnce
	}
	if rule.Timeouts != nil {
		if rule.Timeouts.BackendRequest != nil {
			r.fail(at+".timeouts.backendRequest", "is not taken; request is")
		}
		if rule.Timeouts.Request != nil {
			d, err := time.ParseDuration(string(*rule.Timeouts.Request))
			if err != nil {
				r.fail(at+".timeouts.request", "%v", err)
			}
			base.Deadline = d.Milliseconds()
		}
	}
	for i, ref := range rule.BackendRefs {
		path := fmt.Sprintf("%s.backendRefs.%d", at, i)
		if len(ref.Filters) > 0 || ref.Namespace != nil || ref.Kind != nil && *ref.Kind != "Service" {
			r.fail(path, "only a Service of the same space, without filters, is taken")
		}
		weight := 1
		if ref.Weight != nil {
			weight = int(*ref.Weight)
		}
		base.To = append(base.To, rpc.Split{Service: string(ref.Name), Weight: weight})
		r.services[string(ref.Name)] = true
	}
	matches := rule.Matches
	if len(matches) == 0 {
		matches = []gateway.HTTPRouteMatch{{}}
	}
	for i, match := range matches {
		r.match(fmt.Sprintf("%s.matches.%d", at, i), fmt.Sprintf("%s/%s/%d/%d", route.Namespace, route.Name, no, i), base, match, hosts)
	}
}

func (r *reader) match(at, name string, m rpc.Mapping, match gateway.HTTPRouteMatch, hosts []gateway.Hostname) {
	if len(match.Headers) > 0 {
		r.fail(at+".headers", "are not taken")
	}
	if len(match.QueryParams) > 0 {
		r.fail(at+".queryParams", "are not taken")
	}
	m.Path = "/"
	if match.Path != nil {
		if match.Path.Type != nil && *match.Path.Type != gateway.PathMatchPathPrefix {
			r.fail(at+".path.type", "%s is not taken; PathPrefix is", *match.Path.Type)
		}
		if match.Path.Value != nil {
			m.Path = *match.Path.Value
		}
	}
	if match.Method != nil {
		m.Methods = []string{string(*match.Method)}
	}
	for i, host := range hosts {
		one := m
		one.Name = strings.TrimPrefix(name, "/")
		if len(hosts) > 1 {
			one.Name += fmt.Sprint("/", i)
		}
		one.Host = string(host)
		r.change.Put.Mappings = append(r.change.Put.Mappings, one)
	}
}
