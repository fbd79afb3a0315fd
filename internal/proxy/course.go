// A course is the plan of one request, made as data before anything is done:
// the mapping, the service, the targets in order, the deadline, whether it may
// be repeated. The table that mappings are found by is made once an epoch.
package proxy

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

type course struct {
	id           string
	chart        *distribution.Chart
	mapping      *rpc.Mapping
	service      rpc.Service
	crew         *crew
	tried        []*post
	most         int // targets that it may be sent to
	doubles      int // sent beside a first try
	sharers      int
	aim          time.Duration
	deadline     time.Time
	isRepeatable bool
	key          uint64
	isRepeat     bool
	isRead       bool // some of the body may have been read
	claim        string
	away         time.Duration // how long targets took
}

// connectLeast is the least time for a connection to a target, unless gate.connect is
// shorter.
const connectLeast = 250 * time.Millisecond

// patience is how long a connection to a target may take: the request's aim at most, so
// that another target can still be tried.
func (c *course) patience(most time.Duration) time.Duration {
	return min(most, max(c.aim, connectLeast))
}

// table finds mappings by path, and knows the targets of the epoch.
type table struct {
	chart  *distribution.Chart
	paths  map[string][]*rpc.Mapping
	places map[string]bool
	marks  map[string]*post // by what proxies name them to one another
	crews  map[string]*crew
	near   int
}

func (g *Gate) newTable(chart *distribution.Chart, old *table) *table {
	t := &table{chart: chart, places: map[string]bool{}, marks: map[string]*post{}, crews: map[string]*crew{}, near: g.near(chart)}
	if t.isSameRoutes(old) {
		t.paths = old.paths
	} else {
		t.paths = map[string][]*rpc.Mapping{}
		for _, some := range chart.Routes {
			for i := range some {
				path := strings.TrimSuffix(some[i].Path, "/")
				t.paths[path] = append(t.paths[path], &some[i])
			}
		}
	}
	now := time.Now()
	for service, list := range chart.Targets {
		var before *crew
		if old != nil {
			before = old.crews[service]
		}
		t.crews[service] = g.newCrew(service, list, before, now)
		t.crews[service].times = g.r.Times.Service(service)
		for _, target := range list {
			t.places[place(service, target.Instance, target.Address)] = true
		}
		for _, p := range t.crews[service].posts {
			t.marks[p.mark] = p
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
func (t *table) find(r *http.Request) *rpc.Mapping {
	host := r.Host
	if strings.IndexByte(host, ':') >= 0 {
		if bare, _, err := net.SplitHostPort(host); err == nil {
			host = bare
		}
	}
	whole := r.URL.Path
	path := strings.TrimSuffix(whole, "/")
	for {
		var found *rpc.Mapping
		for _, m := range t.paths[path] {
			if m.Host != "" && m.Host != host || !allows(m, r.Method) {
				continue
			}
			if len(whole) < len(m.Path) && len(m.Path) > 1 && strings.HasSuffix(m.Path, "/") {
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

func allows(m *rpc.Mapping, method string) bool {
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
func pick(m *rpc.Mapping) string {
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
		return nil, errcode.New(errcode.NotFresh, "no plan yet")
	}
	c := &course{id: id, chart: t.chart, mapping: t.find(r)}
	if !g.isPlain {
		c.key = orderOf(r)
	}
	if c.mapping == nil {
		if !g.flow.IsFresh(t.chart, "") {
			return c, errcode.New(errcode.NotFresh, "epoch %d", t.chart.Epoch)
		}
		return c, errcode.New(errcode.NoMapping, "%s %s", r.Method, r.URL.Path)
	}
	service, ok := t.chart.Services[pick(c.mapping)]
	if !ok {
		return c, errcode.New(errcode.NoTarget, "service of %s", c.mapping.Name)
	}
	c.service, c.isRepeatable, c.most = service, c.mapping.Repeatable, targetsMost
	if c.mapping.Tries > 0 {
		c.most = c.mapping.Tries
	}
	if isOnce := c.mapping.Once == nil || *c.mapping.Once; c.key != 0 && isOnce && !c.isRepeatable {
		c.claim = claimName(r)
	}
	now := time.Now()
	c.deadline = now.Add(g.r.Props.GateDeadline)
	if c.mapping.Deadline > 0 {
		c.deadline = now.Add(time.Duration(c.mapping.Deadline) * time.Millisecond)
	}
	if ms, err := strconv.ParseInt(r.Header.Get(g.r.Props.HeaderDeadline), 10, 64); err == nil && ms >= 0 && ms < 3600_000 {
		if theirs := now.Add(time.Duration(ms) * time.Millisecond); theirs.Before(c.deadline) {
			c.deadline = theirs
		}
	}
	c.aim = time.Duration(c.mapping.Aim) * time.Millisecond
	if c.aim <= 0 {
		c.aim = c.deadline.Sub(now) / 4
	}
	if !g.flow.IsFresh(t.chart, service.Name) {
		return c, errcode.New(errcode.NotFresh, "epoch %d", t.chart.Epoch)
	}
	c.crew, c.sharers = t.crews[service.Name], t.near
	if c.crew == nil || len(c.crew.posts) == 0 {
		return c, errcode.New(errcode.NoTarget, "%s", service.Name)
	}
	return c, nil
}
