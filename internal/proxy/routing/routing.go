// Package routing finds the route of a request.
package routing

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strings"

	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Table finds routes by path. It is not changed after New.
type Table struct {
	byPath map[string][]*rpc.Route // by path without a slash at its end
}

// New returns the table of the routes, which are given by group. It keeps pointers to them.
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

// Match returns the route with the longest path that is a prefix of the request's, by whole
// segments, and whose host and methods fit; one with a host goes before one without. It
// returns nil if there is none. The port of the Host field is not looked at (RFC 9110,
// section 7.2).
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
		var best *rpc.Route
		for _, route := range t.byPath[path] {
			if route.Host != "" && route.Host != host || !allowsMethod(route, r.Method) {
				continue
			}
			if len(requestPath) < len(route.Path) && len(route.Path) > 1 && strings.HasSuffix(route.Path, "/") {
				continue
			}
			if best == nil || best.Host == "" && route.Host != "" {
				best = route
			}
		}
		if best != nil {
			return best
		}
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil
		}
		path = path[:slash]
	}
}

// allowsMethod reports whether the route takes the method; one without methods takes all.
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

// ChooseService chooses one of the route's services at random, by their weights.
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
