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
	// maintenanceInterval is the pause between two looks at the leases that ran out.
	maintenanceInterval = 100 * time.Millisecond
	// sweepEvery is the number of those looks from one sweep of the idempotency records to
	// the next.
	sweepEvery = 100
	// maintenanceTimeout bounds an entry that maintenance proposes.
	maintenanceTimeout = 5 * time.Second
)

// Service serves coordination requests for the shards that this node leads.
type Service struct {
	env    *environment.Environment
	shards []*shard
}

// shard is the leader's half of one data shard.
type shard struct {
	id      ids.Shard
	env     *environment.Environment
	replica *consensus.Replica
	store   *Store

	mu     sync.Mutex // guards leases, what it points to, and batch
	leases leaseTable
	batch  *reservationBatch // collects reservations; nil if none waits

	ages indexAges // of the maintenance task alone
}

// NewService makes the service over the data shards' replicas and their stores, which are
// given in the order of the shards.
func NewService(env *environment.Environment, node *consensus.Node, stores []*Store) *Service {
	s := &Service{env: env}
	for id, store := range stores {
		s.shards = append(s.shards, &shard{id: ids.Shard(id), env: env, replica: node.Replica(ids.Shard(id)), store: store})
	}
	return s
}

// Start begins the maintenance of leases and idempotency records. It ends with the
// environment, which waits for it.
func (s *Service) Start() {
	s.env.Go(func() {
		for tick := 0; s.env.Sleep(maintenanceInterval); tick++ {
			for _, shard := range s.shards {
				shard.expireLeases()
				if tick%sweepEvery == 0 {
					shard.sweepIdempotencyRecords()
				}
			}
		}
	})
}

// Handle serves one request. It fails with InvalidCall if the request is not valid, with
// NotLeader if this node does not lead the shard of the name, and with WriteUnknown if it is
// not known whether the request was written. A request that the state does not allow is no
// error: its response bears a code and the state in force.
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

// confirmLeadership returns the term in which a majority has confirmed, since the call
// began, that this node leads the shard. What the store shows from then on is not stale.
func (s *shard) confirmLeadership(ctx context.Context) (ids.Term, error) {
	began := s.env.Now()
	term, _, isServing := s.replica.LeadershipSince()
	if !isServing {
		return term, s.notLeader()
	}
	return term, s.replica.ConfirmLeadership(ctx, began)
}

// propose writes a request to the shard's log and returns its response once it is applied.
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

// get reads one record. The holder of the request names its kind, a key if it is empty. A
// counter that was never added to is zero.
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

// list reads the keys under a prefix.
func (s *shard) list(_ context.Context, _ ids.Term, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	keys, index := s.store.List(KindKey, request.Name)
	return &rpc.CoordinationResponse{Index: index, Records: keys}, nil
}
