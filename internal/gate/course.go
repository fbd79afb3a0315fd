// A course is the plan of one request, made as data before anything is done:
// the mapping, the service, the targets in order, the deadline, whether it may
// be repeated. The table that mappings are found by is made once an epoch.
package gate

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/fault"
	"github.com/sumactrestle/sumactrestle/internal/flow"
	"github.com/sumactrestle/sumactrestle/internal/wire"
)

type course struct {
	id           string
	chart        *flow.Chart
	mapping      *wire.Mapping
	service      wire.Service
	targets      []wire.Target
	deadline     time.Time
	isRepeatable bool
	key          uint64
	isRepeat     bool
	claim        string
}

// table finds mappings by path, and knows the targets of the epoch.
type table struct {
	chart  *flow.Chart
	paths  map[string][]*wire.Mapping
	places map[string]bool
}

func newTable(chart *flow.Chart, old *table) *table {
	t := &table{chart: chart, places: map[string]bool{}}
	if t.isSameRoutes(old) {
		t.paths = old.paths
	} else {
		t.paths = map[string][]*wire.Mapping{}
		for _, some := range chart.Routes {
			for i := range some {
				path := strings.TrimSuffix(some[i].Path, "/")
				t.paths[path] = append(t.paths[path], &some[i])
			}
		}
	}
	for service, list := range chart.Targets {
		for _, target := range list {
			t.places[place(service, target.Instance, target.Address)] = true
		}
	}
	return t
}

// isSameRoutes tells whether the routes are those of the table before.
func (t *table) isSameRoutes(old *table) bool {
	if old == nil || len(old.chart.Routes) != len(t.chart.Routes) {
		return false
	}
	for name := range t.chart.Routes {
		if old.chart.Manifest[name].Digest != t.chart.Manifest[name].Digest {
			return false
		}
	}
	return true
}

// find takes the longest path that fits, one with a host before one without.
func (t *table) find(r *http.Request) *wire.Mapping {
	host := r.Host
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	path := strings.TrimSuffix(r.URL.Path, "/")
	for {
		var found *wire.Mapping
		for _, m := range t.paths[path] {
			if m.Host != "" && m.Host != host || !allows(m, r.Method) {
				continue
			}
			if found == nil || found.Host == "" && m.Host != "" {
				found = m
			}
		}
		if found != nil {
			return found
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return nil
		}
		path = path[:cut]
	}
}

func allows(m *wire.Mapping, method string) bool {
	if len(m.Methods) == 0 {
		return true
	}
	for _, one := range m.Methods {
		if one == method {
			return true
		}
	}
	return false
}

// pick chooses a service by the weights of the mapping's splits.
func pick(m *wire.Mapping) string {
	total := 0
	for _, split := range m.To {
		total += split.Weight
	}
	if total <= 0 {
		return m.To[0].Service
	}
	n := rand.IntN(total)
	for _, split := range m.To {
		if n -= split.Weight; n < 0 {
			return split.Service
		}
	}
	return m.To[0].Service
}

// course plans a request. With a problem, the course says at least under which
// epoch it arose.
func (g *Gate) course(r *http.Request, id string) (*course, error) {
	t := g.table.Load()
	if t == nil {
		return nil, fault.New(fault.NotFresh, "no plan yet")
	}
	c := &course{id: id, chart: t.chart, key: orderOf(r), mapping: t.find(r)}
	if c.mapping == nil {
		if !g.flow.IsFresh(t.chart, "") {
			return c, fault.New(fault.NotFresh, "epoch %d", t.chart.Epoch)
		}
		return c, fault.New(fault.NoMapping, "%s %s", r.Method, r.URL.Path)
	}
	service, ok := t.chart.Services[pick(c.mapping)]
	if !ok {
		return c, fault.New(fault.NoTarget, "service of %s", c.mapping.Name)
	}
	c.service, c.isRepeatable = service, c.mapping.Repeatable
	if isOnce := c.mapping.Once == nil || *c.mapping.Once; c.key != 0 && isOnce && !c.isRepeatable {
		c.claim = claimName(r)
	}
	c.deadline = time.Now().Add(g.r.Props.GateDeadline)
	if c.mapping.Deadline > 0 {
		c.deadline = time.Now().Add(time.Duration(c.mapping.Deadline) * time.Millisecond)
	}
	if !g.flow.IsFresh(t.chart, service.Name) {
		return c, fault.New(fault.NotFresh, "epoch %d", t.chart.Epoch)
	}
	c.targets = g.order(service.Name, t.chart.Targets[service.Name])
	if len(c.targets) == 0 {
		return c, fault.New(fault.NoTarget, "%s", service.Name)
	}
	return c, nil
}

// order puts own zone first, and within a zone draws by weight, the better of
// two draws by requests under way.
func (g *Gate) order(service string, list []wire.Target) []wire.Target {
	var near, far []wire.Target
	for _, t := range list {
		if t.Weight <= 0 {
			continue
		}
		if t.Zone == g.r.Props.Zone {
			near = append(near, t)
		} else {
			far = append(far, t)
		}
	}
	ordered := make([]wire.Target, 0, 4)
	for _, group := range [][]wire.Target{near, far} {
		for len(group) > 0 && len(ordered) < 4 {
			a, b := draw(group), draw(group)
			if g.loadOf(service, group[b]) < g.loadOf(service, group[a]) {
				a = b
			}
			ordered = append(ordered, group[a])
			group[a] = group[len(group)-1]
			group = group[:len(group)-1]
		}
	}
	return ordered
}

func draw(group []wire.Target) int {
	total := 0
	for _, t := range group {
		total += t.Weight
	}
	n := rand.IntN(total)
	for i, t := range group {
		if n -= t.Weight; n < 0 {
			return i
		}
	}
	return 0
}

func (g *Gate) loadOf(service string, t wire.Target) float64 {
	return float64(g.counter(place(service, t.Instance, t.Address)).Load()) / float64(t.Weight)
}

func (g *Gate) counter(key string) *atomic.Int64 {
	if found, ok := g.counters.Load(key); ok {
		return found.(*atomic.Int64)
	}
	found, _ := g.counters.LoadOrStore(key, new(atomic.Int64))
	return found.(*atomic.Int64)
}
