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

// PlannerConfig holds the dependencies of a Planner.
type PlannerConfig struct {
	Env       *environment.Environment
	Transport *rpc.Transport
	Members   *membership.Memberlist
	Consensus *consensus.Node
	State     *ConfigState
}

// Planner plans epochs at the leader of the configuration shard and is idle at other core
// nodes. It collects the registries' reports on all shards, and commits a new epoch if the
// desired content differs from that of the current epoch.
//
// It also tracks up to which time the current epoch reflects each shard. An epoch reflects a
// report once it is committed and includes everything in the report. Proxies stop serving
// when that time is too long ago.
type Planner struct {
	env       *environment.Environment
	transport *rpc.Transport
	members   *membership.Memberlist
	replica   *consensus.Replica // of the configuration shard
	state     *ConfigState

	startedAt time.Time
	trigger   chan struct{} // capacity 1; requests a planning round

	// planningMu is held from reading the current epoch until the next one is committed. It
	// is acquired before mu.
	planningMu environment.ChanMutex

	mu              sync.Mutex // guards the fields below
	view            *plannerView
	loggedConflicts map[addressConflict]bool
	awaitsRelease   bool // see resolution.awaitsRelease
}

// plannerView is the planner's state in one term of the configuration shard. It is discarded
// when the term ends.
type plannerView struct {
	term    ids.Term
	reports map[ids.Shard]*shardReport
	// previousTargets holds, for each shard whose leader changed, the targets of the epoch
	// that was current at that time, without those that departed since.
	previousTargets map[ids.Shard]map[targetKey]bool
	// reflectedUpTo is the time up to which the current epoch reflects each shard.
	reflectedUpTo map[ids.Shard]time.Time
	// converged is the last epoch found to match all reports; nil if reports changed since.
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

// NewPlanner returns a planner. It is idle until Start is called.
func NewPlanner(config PlannerConfig) *Planner {
	return &Planner{
		env:             config.Env,
		transport:       config.Transport,
		members:         config.Members,
		replica:         config.Consensus.Replica(ids.ConfigShard),
		state:           config.State,
		startedAt:       config.Env.Now(),
		trigger:         make(chan struct{}, 1),
		planningMu:      environment.NewChanMutex(),
		view:            newPlannerView(ids.Term{}),
		loggedConflicts: map[addressConflict]bool{},
	}
}

// Start starts the planner's loop, which runs until the environment ends.
func (p *Planner) Start() { p.env.Go(p.run) }

// Trigger requests a planning round without waiting for the poll interval.
func (p *Planner) Trigger() {
	select {
	case p.trigger <- struct{}{}:
	default:
	}
}

// run plans when triggered, and at least once per controlplane.poll_interval.
func (p *Planner) run() {
	due := time.Now().Add(1)
	for {
		if _, err := environment.WaitUntil(p.env, due, p.trigger); err != nil {
			return
		}
		// Triggers that arrive within the batch delay share one round.
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
			// An error is not handled here: the next round plans again, and until then the ages
			// that Freshness reports grow.
			p.planEpoch(p.env)
		}
	}
}

// viewOf returns the view of a term, which is empty for a new term. The caller holds mu.
func (p *Planner) viewOf(term ids.Term) *plannerView {
	if p.view.term != term {
		p.view = newPlannerView(term)
	}
	return p.view
}
