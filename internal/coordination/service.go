package coordination

import (
	"context"
	"sync"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/consensus"
	"github.com/sumactrestle/sumactrestle/internal/environment"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

const (
	// maintenanceInterval is the period of the check for expired leases.
	maintenanceInterval = 100 * time.Millisecond
	// ticksPerSweep is the number of those checks per sweep of the idempotency records.
	ticksPerSweep = 100
	// maintenanceTimeout limits the time for an entry proposed by maintenance.
	maintenanceTimeout = 5 * time.Second
)

// Service serves coordination requests for the shards that this node leads.
type Service struct {
	env    *environment.Environment
	shards []*shard
}

// shard is the leader's side of one data shard.
type shard struct {
	id      ids.Shard
	env     *environment.Environment
	replica *consensus.Replica
	store   *Store

	mu     sync.Mutex // guards batch, leases and each lease in it
	leases leaseTable
	batch  *reservationBatch // the open batch; nil if there is none

	indexSamples indexSamples // used by the maintenance task only
}

// NewService returns the service for the data shards. stores has one store for each data
// shard, in the order of their numbers.
func NewService(env *environment.Environment, node *consensus.Node, stores []*Store) *Service {
	s := &Service{env: env}
	for id, store := range stores {
		s.shards = append(s.shards, &shard{id: ids.Shard(id), env: env, replica: node.Replica(ids.Shard(id)), store: store})
	}
	return s
}

// Start starts the maintenance of leases and idempotency records in the background. It runs
// until the environment stops; the environment waits for it to end.
func (s *Service) Start() {
	s.env.Go(func() {
		for tick := 0; s.env.Sleep(maintenanceInterval); tick++ {
			for _, shard := range s.shards {
				shard.expireLeases()
				if tick%ticksPerSweep == 0 {
					shard.sweepIdempotencyRecords()
				}
			}
		}
	})
}

// Handle serves one request. It returns InvalidCall if the request is invalid, NotLeader if
// this node does not lead the shard of the name, and WriteUnknown if it is not known whether
// the request was written. A request that conflicts with the current state is not an error:
// the response has a code and the current state.
func (s *Service) Handle(ctx context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	if err := validate(request); err != nil {
		return nil, err
	}
	shard := s.shards[ids.ShardOf(request.Name)]
	switch operation := operations[request.Operation]; {
	case operation.read != nil:
		term, err := shard.confirmLeadership(ctx)
		if err != nil {
			return nil, err
		}
		return operation.read(shard, ctx, term, request)
	case operation.write != nil:
		return operation.write(shard, ctx, request)
	}
	return shard.propose(ctx, request)
}

// confirmLeadership waits until a majority has confirmed, after the start of the call, that
// this node leads the shard, and returns the term. Reads from the store after that are not
// stale.
func (s *shard) confirmLeadership(ctx context.Context) (ids.Term, error) {
	startedAt := s.env.Now()
	term, _, isServing := s.replica.LeadershipSince()
	if !isServing {
		return term, s.notLeader()
	}
	return term, s.replica.ConfirmLeadership(ctx, startedAt)
}

// propose writes a request to the shard's log and returns the response once it is applied.
func (s *shard) propose(ctx context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	_, result, err := s.replica.Propose(ctx, request)
	if err != nil {
		return nil, err
	}
	response, ok := result.(*rpc.CoordinationResponse)
	if !ok {
		return nil, s.writeUnknown()
	}
	return response, nil
}

func (s *shard) notLeader() error { return errcode.New(errcode.NotLeader, "shard %d", s.id) }

func (s *shard) writeUnknown() error { return errcode.New(errcode.WriteUnknown, "shard %d", s.id) }

// get reads one record. The request's holder is the kind of the record, KindKey if it is
// empty. A counter that does not exist reads as zero.
func (s *shard) get(_ context.Context, _ ids.Term, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	kind := KindKey
	if request.Holder != "" {
		kind = request.Holder
	}
	record, ok := s.store.Get(kind, request.Name)
	if !ok && kind == KindCounter {
		return &rpc.CoordinationResponse{}, nil
	}
	if !ok {
		return &rpc.CoordinationResponse{Code: errcode.KeyNotFound.Number}, nil
	}
	return &rpc.CoordinationResponse{Index: record.Index, Revision: record.Revision, Value: record.Value, Count: record.Count, Holder: record.Holder, FencingToken: record.FencingToken, TTL: record.TTL}, nil
}

// list reads the keys whose names have a prefix.
func (s *shard) list(_ context.Context, _ ids.Term, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	keys, index := s.store.List(KindKey, request.Name)
	return &rpc.CoordinationResponse{Index: index, Records: keys}, nil
}
