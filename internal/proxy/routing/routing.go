// Package routing matches requests to routes.
package routing

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Table holds routes by path. It is immutable.
type Table struct {
	byPath map[string][]*rpc.Route // by path without a trailing slash
}

// New returns a table of the routes in all groups. It keeps pointers to them.
func New(groups map[string][]rpc.Route) *Table {
	t := &Table{byPath: map[string][]*rpc.Route{}}
	for _, routes := range groups {
		for i := range routes {
			path := strings.TrimSuffix(routes[i].Path, "/")
			t.byPath[path] = append(t.byPath[path], &routes[i])
		}
	}
	return t
}

// Match returns the route whose host and methods match the request, and whose path is the longest
// prefix of the request's path by whole segments. Among routes of the same path, one with a host
// takes precedence. Match returns nil if there is none. It ignores the port of the Host field
// (RFC 9110, section 7.2).
func (t *Table) Match(r *http.Request) *rpc.Route {
	host := r.Host
	if strings.IndexByte(host, ':') >= 0 {
		if hostname, _, err := net.SplitHostPort(host); err == nil {
			host = hostname
		}
	}
	requestPath := r.URL.Path
	path := strings.TrimSuffix(requestPath, "/")
	for {
		var match *rpc.Route
		for _, route := range t.byPath[path] {
			if route.Host != "" && route.Host != host || !allowsMethod(route, r.Method) {
				continue
			}
			if len(requestPath) < len(route.Path) && len(route.Path) > 1 && strings.HasSuffix(route.Path, "/") {
				continue
			}
			if match == nil || match.Host == "" && route.Host != "" {
				match = route
			}
		}
		if match != nil {
			return match
		}
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil
		}
		path = path[:slash]
	}
}

// allowsMethod reports whether the route allows the method. A route without methods allows all.
func allowsMethod(route *rpc.Route, method string) bool {
	if len(route.Methods) == 0 {
		return true
	}
	for _, allowed := range route.Methods {
		if allowed == method {
			return true
		}
	}
	return false
}

// ChooseService returns one of the route's services at random, in proportion to their weights. If
// all weights are zero, it returns the first.
func ChooseService(route *rpc.Route) string {
	total := 0
	for _, split := range route.Services {
		total += split.Weight
	}
	if total <= 0 {
		return route.Services[0].Service
	}
	n := rand.IntN(total)
	for _, split := range route.Services {
		if n -= split.Weight; n < 0 {
			return split.Service
		}
	}
	return route.Services[0].Service
}
