// Package gatewayapi converts HTTPRoute objects of the Kubernetes Gateway API (v1) to a change
// set of routes and services. Unsupported fields are never ignored: each is an error that
// names the field's path.
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

// Annotations of an HTTPRoute for settings without a field in the Gateway API.
const (
	RepeatableAnnotation = "sumactrestle/repeatable" // "true" sets rpc.Route.Idempotent
	OnceAnnotation       = "sumactrestle/once"       // "true" sets rpc.Route.Deduplicate to true, any other value to false
)

// converter collects the change set and the problems of one file.
type converter struct {
	changeSet rpc.ChangeSet
	services  map[string]bool // referenced by routes
	problems  []string        // each starts with the field's path
}

// reject records a problem with the field at a path.
func (c *converter) reject(path, format string, args ...any) {
	c.problems = append(c.problems, path+": "+fmt.Sprintf(format, args...))
}

// Read converts a file of YAML documents, one object each, to a change set without ID and
// base. Its error is an errcode.InvalidChange that lists all problems with their field paths.
func Read(raw []byte) (*rpc.ChangeSet, error) {
	c := &converter{services: map[string]bool{}}
	for i, document := range bytes.Split(raw, []byte("\n---")) {
		document = bytes.TrimPrefix(bytes.TrimSpace(document), []byte("---"))
		if len(bytes.TrimSpace(document)) > 0 {
			c.convertObject(fmt.Sprintf("objects.%d", i), document)
		}
	}
	for name := range c.services {
		c.changeSet.Put.Services = append(c.changeSet.Put.Services, rpc.Service{Name: name})
	}
	sort.Slice(c.changeSet.Put.Services, func(i, j int) bool { return c.changeSet.Put.Services[i].Name < c.changeSet.Put.Services[j].Name })
	if len(c.changeSet.Put.Routes) == 0 && len(c.problems) == 0 {
		c.reject("objects", "the file contains none")
	}
	if len(c.problems) > 0 {
		return nil, errcode.NewPaths(errcode.InvalidChange, c.problems)
	}
	return &c.changeSet, nil
}

// convertObject converts one document.
func (c *converter) convertObject(path string, document []byte) {
	var route gateway.HTTPRoute
	if err := yaml.UnmarshalStrict(document, &route); err != nil {
		c.reject(path, "%v", err)
		return
	}
	if route.Kind != "HTTPRoute" || route.APIVersion != gateway.GroupVersion.String() {
		c.reject(path+".kind", "%s %s is not supported; use HTTPRoute %s", route.APIVersion, route.Kind, gateway.GroupVersion)
		return
	}
	if route.Name == "" {
		c.reject(path+".metadata.name", "is missing")
	}
	hosts := route.Spec.Hostnames
	if len(hosts) == 0 {
		hosts = []gateway.Hostname{""}
	}
	for i, host := range hosts {
		if strings.Contains(string(host), "*") {
			c.reject(fmt.Sprintf("%s.spec.hostnames.%d", path, i), "wildcards are not supported")
		}
	}
	for i, rule := range route.Spec.Rules {
		c.convertRule(fmt.Sprintf("%s.spec.rules.%d", path, i), &route, i, rule, hosts)
	}
}

// convertRule converts a rule to one route for each match and host.
func (c *converter) convertRule(path string, route *gateway.HTTPRoute, index int, rule gateway.HTTPRouteRule, hosts []gateway.Hostname) {
	if len(rule.Filters) > 0 {
		c.reject(path+".filters", "are not supported")
	}
	if rule.Retry != nil {
		c.reject(path+".retry", "is not supported; use the annotation %s", RepeatableAnnotation)
	}
	if rule.SessionPersistence != nil {
		c.reject(path+".sessionPersistence", "is not supported")
	}
	base := rpc.Route{Idempotent: route.Annotations[RepeatableAnnotation] == "true"}
	if value, ok := route.Annotations[OnceAnnotation]; ok {
		deduplicate := value == "true"
		base.Deduplicate = &deduplicate
	}
	if rule.Timeouts != nil {
		if rule.Timeouts.BackendRequest != nil {
			c.reject(path+".timeouts.backendRequest", "is not supported; use timeouts.request")
		}
		if rule.Timeouts.Request != nil {
			timeout, err := time.ParseDuration(string(*rule.Timeouts.Request))
			if err != nil {
				c.reject(path+".timeouts.request", "%v", err)
			}
			base.DeadlineMillis = timeout.Milliseconds()
		}
	}
	for i, ref := range rule.BackendRefs {
		refPath := fmt.Sprintf("%s.backendRefs.%d", path, i)
		if len(ref.Filters) > 0 || ref.Namespace != nil || ref.Kind != nil && *ref.Kind != "Service" {
			c.reject(refPath, "only a Service in the same namespace, without filters, is supported")
		}
		weight := 1
		if ref.Weight != nil {
			weight = int(*ref.Weight)
		}
		base.Services = append(base.Services, rpc.WeightedService{Service: string(ref.Name), Weight: weight})
		c.services[string(ref.Name)] = true
	}
	matches := rule.Matches
	if len(matches) == 0 {
		matches = []gateway.HTTPRouteMatch{{}}
	}
	for i, match := range matches {
		c.convertMatch(fmt.Sprintf("%s.matches.%d", path, i), fmt.Sprintf("%s/%s/%d/%d", route.Namespace, route.Name, index, i), base, match, hosts)
	}
}

// convertMatch adds one route for each host: the rule's route with the conditions of the match.
// Routes are named by namespace, object, index of the rule, index of the match and, if there is
// more than one host, index of the host.
func (c *converter) convertMatch(path, name string, route rpc.Route, match gateway.HTTPRouteMatch, hosts []gateway.Hostname) {
	if len(match.Headers) > 0 {
		c.reject(path+".headers", "are not supported")
	}
	if len(match.QueryParams) > 0 {
		c.reject(path+".queryParams", "are not supported")
	}
	route.Path = "/"
	if match.Path != nil {
		if match.Path.Type != nil && *match.Path.Type != gateway.PathMatchPathPrefix {
			c.reject(path+".path.type", "%s is not supported; use PathPrefix", *match.Path.Type)
		}
		if match.Path.Value != nil {
			route.Path = *match.Path.Value
		}
	}
	if match.Method != nil {
		route.Methods = []string{string(*match.Method)}
	}
	for i, host := range hosts {
		hostRoute := route
		hostRoute.Name = strings.TrimPrefix(name, "/")
		if len(hosts) > 1 {
			hostRoute.Name += fmt.Sprint("/", i)
		}
		hostRoute.Host = string(host)
		c.changeSet.Put.Routes = append(c.changeSet.Put.Routes, hostRoute)
	}
}
