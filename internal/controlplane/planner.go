package controlplane

import (
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// PlannerConfig is what a Planner works with.
type PlannerConfig struct {
	Env       *environment.Environment
	Transport *rpc.Transport
	Members   *membership.Memberlist
	Consensus *consensus.Node
	State     *ConfigState
}

// Planner plans epochs at the leader of the configuration shard; at other core nodes it
// waits. It collects the registries' reports on all shards and commits an epoch whenever
// what one should say differs from the one in force.
//
// It also knows up to which time each shard is reflected by the epoch in force: a report is
// reflected once all that it says is in a committed epoch, and not before. Proxies stop
// serving when that time is too long ago.
type Planner struct {
	env       *environment.Environment
	transport *rpc.Transport
	members   *membership.Memberlist
	replica   *consensus.Replica // of the configuration shard
	state     *ConfigState

	startedAt time.Time
	trigger   chan struct{} // capacity 1: a round of planning is due now

	// planning is held from reading the epoch in force until the next one is committed. It
	// is taken before mu.
	planning environment.ChanMutex

	mu              sync.Mutex // guards all below
	view            *plannerView
	loggedConflicts map[addressConflict]bool
	awaitsRelease   bool // a target waits for the epoch after the one planned last
}

// plannerView is what the planner knows under one term of the configuration shard. It is
// forgotten with the term.
type plannerView struct {
	term    ids.Term
	reports map[ids.Shard]*shardReport
	// previousTargets is, for each shard whose leader changed, the targets that were in the
	// epoch in force when the leader changed, without those that departed since.
	previousTargets map[ids.Shard]map[targetKey]bool
	// reflectedUpTo is the time up to which the epoch in force reflects each shard.
	reflectedUpTo map[ids.Shard]time.Time
	// converged is the last epoch that was found to say all that the reports say.
	converged *EpochState
}

func newPlannerView(term ids.Term) *plannerView {
	return &plannerView{
		term:            term,
		reports:         map[ids.Shard]*shardReport{},
		previousTargets: map[ids.Shard]map[targetKey]bool{},
		reflectedUpTo:   map[ids.Shard]time.Time{},
	}
}

// NewPlanner makes a planner that does nothing until it is started.
func NewPlanner(config PlannerConfig) *Planner {
	return &Planner{
		env:             config.Env,
		transport:       config.Transport,
		members:         config.Members,
		replica:         config.Consensus.Replica(ids.ConfigShard),
		state:           config.State,
		startedAt:       config.Env.Now(),
		trigger:         make(chan struct{}, 1),
		planning:        environment.NewChanMutex(),
		view:            newPlannerView(ids.Term{}),
		loggedConflicts: map[addressConflict]bool{},
	}
}

// Start starts the planner's loop, which ends with the environment.
func (p *Planner) Start() { p.env.Go(p.run) }

// Trigger has the reports collected at once.
func (p *Planner) Trigger() {
	select {
	case p.trigger <- struct{}{}:
	default:
	}
}

// run plans when it is triggered, and once in the time of the setting plan.poll.
func (p *Planner) run() {
	due := time.Now().Add(1)
	for {
		if _, err := environment.WaitUntil(p.env, due, p.trigger); err != nil {
			return
		}
		// What is triggered together is planned together.
		if !p.env.Sleep(p.env.Config.ControlplaneBatchDelay) {
			return
		}
		select {
		case <-p.trigger:
		default:
		}
		due = time.Now().Add(p.env.Config.ControlplanePollInterval)
		if term, _, isServing := p.replica.LeadershipSince(); isServing {
			p.collectReports(term)
			// What keeps an epoch from being planned now may be over by the next round; until
			// then Freshness tells the growing ages.
			p.planEpoch(p.env)
		}
	}
}

// viewOf is what is known under a term; mu is held. A new term begins with nothing.
func (p *Planner) viewOf(term ids.Term) *plannerView {
	if p.view.term != term {
		p.view = newPlannerView(term)
	}
	return p.view
}
