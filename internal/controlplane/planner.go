// The Planner works at the owner of the configuration part. It collects the
// parts' news, makes whole epochs of them and of accepted change sets, and
// knows of each part as of when the epoch in force reflects it: only once all
// that the part held at that time is in a committed epoch.
package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/membership"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

type shardReport struct {
	rpc.ShardTargets
	asOf       time.Time
	receivedAt time.Time
}

// Planner is one core node's.
type Planner struct {
	env       *environment.Environment
	transport *rpc.Wire
	members   *membership.Memberlist
	replica   *consensus.Replica
	config    *ConfigState
	trigger   chan struct{}

	planning          environment.ChanMutex
	mu                sync.Mutex
	term              ids.Term
	reports           map[ids.Shard]*shardReport
	previousTargets   map[ids.Shard]map[string]bool
	reflectedUpTo     map[ids.Shard]time.Time
	converged         *EpochState
	reportedConflicts map[addressConflict]bool
	startedAt         time.Time

	awaitsAddressRelease bool // a target waits for the epoch after the one planned last
}

func NewPlanner(env *environment.Environment, transport *rpc.Wire, members *membership.Memberlist, node *consensus.Node, config *ConfigState) *Planner {
	p := &Planner{env: env, transport: transport, members: members, replica: node.Replica(ids.ConfigShard), config: config, trigger: make(chan struct{}, 1), reportedConflicts: map[addressConflict]bool{}, startedAt: env.Now(), planning: environment.NewChanMutex()}
	p.reset(ids.Term{})
	return p
}

func (p *Planner) reset(term ids.Term) {
	p.term = term
	p.reports, p.reflectedUpTo = map[ids.Shard]*shardReport{}, map[ids.Shard]time.Time{}
	p.previousTargets, p.converged = map[ids.Shard]map[string]bool{}, nil
}

// Start starts the planner's task.
func (p *Planner) Start() {
	p.env.Go(func() {
		wakeup := time.NewTimer(1)
		defer wakeup.Stop()
		for {
			select {
			case <-p.env.Done():
				return
			case <-p.trigger:
			case <-wakeup.C:
			}
			// What is stirred up together is planned together.
			if !p.env.Sleep(p.env.Config.PlanGather) {
				return
			}
			select {
			case <-p.trigger:
			default:
			}
			wakeup.Reset(p.env.Config.PlanPoll)
			if term, _, isServing := p.replica.LeadershipSince(); isServing {
				p.collectReports(term)
				p.planEpoch(p.env, nil, nil)
			}
		}
	})
}

// Trigger has the news collected at once.
func (p *Planner) Trigger() {
	select {
	case p.trigger <- struct{}{}:
	default:
	}
}

// collectReports asks every live core node for the news of the parts it owns.
func (p *Planner) collectReports(term ids.Term) {
	p.mu.Lock()
	if p.term != term {
		p.reset(term)
	}
	known := map[ids.Shard]string{}
	for shard, n := range p.reports {
		known[shard] = n.Digest
	}
	p.mu.Unlock()
	ctx, end := context.WithTimeout(p.env, 400*time.Millisecond)
	defer end()
	var all sync.WaitGroup
	for _, m := range p.members.CoreMembers() {
		all.Add(1)
		p.env.Go(func() {
			defer all.Done()
			sent := p.env.Now()
			var response rpc.TargetReportResponse
			if p.transport.Ask(ctx, m.RPCAddress, "plan.news", &rpc.TargetReportRequest{Known: known}, &response) == nil {
				p.mergeReports(term, sent, &response)
			}
		})
	}
	all.Wait()
}

func (p *Planner) mergeReports(term ids.Term, sent time.Time, response *rpc.TargetReportResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term != term {
		return
	}
	for _, update := range response.Shards {
		old := p.reports[update.Shard]
		if old != nil && update.Term.Less(old.Term) {
			continue
		}
		if update.Targets == nil && (old == nil || old.Digest != update.Digest) {
			continue
		}
		asOf := sent.Add(-time.Duration(update.Age) * time.Microsecond)
		if old != nil && old.Term == update.Term && asOf.Before(old.asOf) {
			continue
		}
		if old == nil || old.Term != update.Term {
			p.previousTargets[update.Shard] = nil
			if update.Provisional {
				p.previousTargets[update.Shard] = previousTargets(p.config.Current(), update.Shard)
			}
		}
		if update.Targets != nil || old.Provisional != update.Provisional {
			p.converged = nil
		}
		if update.Targets == nil {
			update.Targets = old.Targets
		} else {
			normalizeAges(&update, sent.Sub(p.startedAt).Microseconds(), p.previousTargets[update.Shard])
		}
		p.reports[update.Shard] = &shardReport{ShardTargets: update, asOf: asOf, receivedAt: sent}
	}
}

// planEpoch commits an epoch if what it should say differs from the one in force.
func (p *Planner) planEpoch(ctx context.Context, change *rpc.ChangeResult, config *rpc.Configuration) error {
	if change == nil {
		p.planning.Lock()
		defer p.planning.Unlock()
	}
	term, _, isServing := p.replica.LeadershipSince()
	if !isServing {
		return errcode.New(errcode.NotOwner, "configuration part")
	}
	epoch := p.config.Current()
	p.mu.Lock()
	if p.term != term {
		p.reset(term)
	}
	asOf := map[ids.Shard]time.Time{}
	for shard, n := range p.reports {
		asOf[shard] = n.asOf
	}
	shares := p.quotaShares()
	planned := &rpc.EpochEntry{Epoch: epoch.Epoch + 1, Change: change, Put: map[string]json.RawMessage{}}
	if change != nil || p.converged != epoch || !bytes.Equal(epoch.Groups[SharesGroup].Data, shares) {
		diffGroups(planned, epoch, p.desiredGroups(epoch, config, shares))
		if len(planned.Put)+len(planned.Remove) == 0 {
			p.converged = epoch
		}
	}
	p.mu.Unlock()
	if change != nil {
		change.Epoch, planned.ResultsKept = planned.Epoch, p.env.Config.PlanMemory
	}
	if len(planned.Put)+len(planned.Remove) > 0 || change != nil {
		_, applied, err := p.replica.Propose(ctx, planned)
		if err != nil {
			return err
		}
		if applied != true {
			return errcode.New(errcode.NotOwner, "epoch %d was planned by another", planned.Epoch)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.awaitsAddressRelease && len(planned.Put) > 0 {
		p.Trigger()
	}
	if p.term == term {
		for shard, at := range asOf {
			if p.reflectedUpTo[shard].Before(at) {
				p.reflectedUpTo[shard] = at
			}
		}
	}
	return nil
}

// diffGroups puts into an epoch what is wanted and isn't in the one in force.
func diffGroups(planned *rpc.EpochEntry, epoch *EpochState, want map[string]json.RawMessage) {
	for name, data := range want {
		if old, ok := epoch.Groups[name]; !ok || !bytes.Equal(old.Data, data) {
			planned.Put[name] = data
		}
	}
	for name := range epoch.Groups {
		if _, ok := want[name]; !ok {
			planned.Remove = append(planned.Remove, name)
		}
	}
	sort.Strings(planned.Remove)
}

// quotaShares is the strength of every proxy that is there.
func (p *Planner) quotaShares() json.RawMessage {
	shares := map[ids.NodeName]int{}
	for name, m := range p.members.View() {
		// One that went is kept for a while: most come back at once, and a share that
		// is too small does no harm, where an epoch for each coming and going does.
		if m.ProxyAddress != "" && (m.State == membership.StateAlive || m.State == membership.StateSuspect || time.Since(m.StateChange) < p.env.Config.PlanLinger) {
			shares[name] = m.Strength
		}
	}
	if p.env.Since(p.startedAt) < p.env.Config.PlanLinger {
		// Whoever has just started does not know yet who is there.
		var before map[ids.NodeName]int
		json.Unmarshal(p.config.Current().Groups[SharesGroup].Data, &before)
		for name, strength := range before {
			if _, isKnown := p.members.View()[name]; !isKnown {
				shares[name] = strength
			}
		}
	}
	raw, _ := json.Marshal(shares)
	return raw
}

// desiredGroups is what every group of the next epoch should hold. Without a change set
// the operators' groups are taken over as they are.
func (p *Planner) desiredGroups(epoch *EpochState, config *rpc.Configuration, shares json.RawMessage) map[string]json.RawMessage {
	want := map[string]json.RawMessage{}
	var services []rpc.Service
	if config == nil {
		for name, group := range epoch.Groups {
			if isOperatorGroup(name) {
				want[name] = group.Data
			}
		}
		json.Unmarshal(want[ServicesGroup], &services)
	} else {
		services = config.Services
		want = encodeGroups(*config)
	}
	want[SharesGroup] = shares
	targets, clashes, isAwaited := resolveTargets(epoch, services, p.reports)
	p.awaitsAddressRelease = isAwaited
	for _, c := range clashes {
		if !p.reportedConflicts[c] {
			p.reportedConflicts[c] = true
			p.env.Events.Say(eventlog.AddressClash, "address", c.address, "one", c.first, "two", c.second)
		}
	}
	for _, s := range services {
		old, isOld := epoch.Groups[TargetsPrefix+s.Name]
		if isOld && p.reports[ids.ShardOf(s.Name)] == nil {
			want[TargetsPrefix+s.Name] = old.Data
			continue
		}
		want[TargetsPrefix+s.Name], _ = json.Marshal(nonNil(targets[s.Name]))
	}
	return want
}
