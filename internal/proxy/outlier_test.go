// Illness: what puts a target out, what brings it back, and that a service is never
// emptied by it.
package proxy

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/config"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

func crewOf(n int) (*Proxy, *Pool) {
	g := &Proxy{environment: &environment.Environment{Config: &config.Props{Zone: "a", GateSpill: 30}}}
	var list []rpc.Target
	for i := range n {
		list = append(list, rpc.Target{Instance: fmt.Sprint("t", i), Address: fmt.Sprint("10.0.0.", i), Zone: "a", Weight: 100, Slots: 2})
	}
	return g, g.newPool("s", list, nil, time.Now())
}

// sentTo counts how many of so many requests go to the post.
func sentTo(g *Proxy, c *Pool, p *Endpoint, n int) (sent int) {
	for range n {
		if g.selectEndpoint(&requestPlan{endpoints: c, latencyTarget: time.Second, zoneProxies: 1}, 0) == p {
			sent++
		}
	}
	return sent
}

func TestATargetThatFailsIsOutAndComesBackSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, c := crewOf(10)
		ill := c.Endpoints[3]
		ill.AddToFailureScore(time.Now(), 1)
		time.Sleep(100 * time.Millisecond)
		if sentTo(g, c, ill, 1000) == 0 {
			t.Error("out after one failure")
		}
		ill.AddToFailureScore(time.Now(), 4)
		time.Sleep(100 * time.Millisecond)
		if n := sentTo(g, c, ill, 1000); n > 0 {
			t.Errorf("%d of 1000 requests went to it", n)
		}
		time.Sleep(time.Minute)
		if sentTo(g, c, ill, 1000) == 0 {
			t.Error("it never came back")
		}
	})
}

func TestWhereAllFailNoneIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, ill := range []int{10, 5} {
			g, c := crewOf(10)
			for _, p := range c.Endpoints[:ill] {
				p.AddToFailureScore(time.Now(), maxScore)
			}
			time.Sleep(100 * time.Millisecond)
			if n := sentTo(g, c, c.Endpoints[0], 1000); n < 50 {
				t.Errorf("%d of 10 fail, and one of them got %d of 1000 requests", ill, n)
			}
		}
	})
}

func TestAFailureIsNoQuickAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, c := crewOf(10)
		for _, p := range c.Endpoints {
			p.RecordResponse(time.Now(), 100*time.Millisecond, true, true, "")
		}
		c.RecordLatency(100 * time.Millisecond)
		for range 20 {
			c.Endpoints[3].RecordResponse(time.Now(), time.Millisecond, false, false, "")
		}
		if n := sentTo(g, c, c.Endpoints[3], 1000); n > 300 {
			t.Errorf("%d of 1000 requests went to a target that failed fast", n)
		}
	})
}

func TestAServiceThatIsSlowAsAWholeIsNotCalm(t *testing.T) {
	_, c := crewOf(3)
	for range 200 {
		c.RecordLatency(100 * time.Millisecond)
	}
	if !c.NearBaseline() {
		t.Error("not calm, though nothing ever took longer")
	}
	for range 100 {
		c.RecordLatency(300 * time.Millisecond)
	}
	if c.NearBaseline() {
		t.Error("calm, though all takes three times as long")
	}
	for range 200 {
		c.RecordLatency(100 * time.Millisecond)
	}
	if !c.NearBaseline() {
		t.Error("not calm after it")
	}
}
