package coordination

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// lease is the time for which a lock is held, by the leader's monotonic clock. It counts
// from the end of the write that granted it, and the holder counts from when it sent the
// request, so the holder's time is over first.
type lease struct {
	token     ids.Index
	expiresAt time.Time
	// revoking is set once the lease has run out: from then on it can't be renewed, also
	// if the entry that releases the lock has to be proposed again.
	revoking bool
	revoked  chan struct{} // closed when the entry under way has ended; nil if there is none
}

// leaseTable is the leases of a shard's locks by name, within one term of this node's
// leadership. A lock that a leader sees for the first time starts with its full time.
type leaseTable struct {
	term   ids.Term
	byName map[string]*lease
}

// leasesIn returns the leases in a term, none at the beginning of a new one; nil if the
// term is over. The caller holds s.mu.
func (s *shard) leasesIn(term ids.Term) map[string]*lease {
	if term.Less(s.leases.term) {
		return nil
	}
	if s.leases.term != term || s.leases.byName == nil {
		s.leases = leaseTable{term: term, byName: map[string]*lease{}}
	}
	return s.leases.byName
}

// leaseOf returns the lease of a lock as the store has it, and begins it if this leader
// has not seen it. The caller holds s.mu.
func (s *shard) leaseOf(leases map[string]*lease, lock rpc.CoordinationRecord) *lease {
	if l := leases[lock.Name]; l == nil || l.token != lock.FencingToken {
		leases[lock.Name] = &lease{token: lock.FencingToken, expiresAt: s.after(lock.TTL)}
	}
	return leases[lock.Name]
}

func (s *shard) after(ttl int64) time.Time {
	return s.env.Now().Add(time.Duration(ttl) * time.Millisecond)
}

func (s *shard) hasEnded(l *lease) bool { return l.revoking || !s.env.Now().Before(l.expiresAt) }

// acquire takes a lock. While another's lease lasts it writes nothing; a lease that has
// run out is revoked first.
func (s *shard) acquire(ctx context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	began := s.env.Now()
	for isRepeat := s.store.IsCompleted(request.ID); !isRepeat; {
		term, _, isServing := s.replica.LeadershipSince()
		if !isServing {
			return nil, s.notLeader()
		}
		if lock, ok := s.store.Get(KindLock, request.Name); !ok || lock.Holder == request.Holder {
			break
		}
		if err := s.replica.ConfirmLeadership(ctx, began); err != nil {
			return nil, err
		}
		rejection, revoked := s.conflict(term, request)
		if rejection != nil {
			return rejection, nil
		}
		if revoked == nil {
			continue
		}
		select {
		case <-revoked:
		case <-ctx.Done():
		}
		if ctx.Err() != nil || s.env.IsStopping() {
			return nil, errcode.New(errcode.NoLeader, "shard %d: the old lease can't be revoked", s.id)
		}
	}
	granted, err := s.propose(ctx, request)
	if err != nil || granted.Code != 0 {
		return granted, err
	}
	extended, err := s.extendLease(request.Name, granted.FencingToken, granted.TTL)
	if err != nil || extended.Code != 0 {
		return extended, err
	}
	return granted, nil
}

// conflict returns the rejection while another holds the lock; or, if the other's lease has
// run out, a channel that is closed when it is revoked; or neither, if nobody else holds it.
func (s *shard) conflict(term ids.Term, request *rpc.CoordinationRequest) (rejection *rpc.CoordinationResponse, revoked <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leases := s.leasesIn(term)
	lock, ok := s.store.Get(KindLock, request.Name)
	if leases == nil || !ok || lock.Holder == request.Holder {
		return nil, nil
	}
	if l := s.leaseOf(leases, lock); s.hasEnded(l) {
		return nil, s.revoke(term, lock, l)
	}
	return &rpc.CoordinationResponse{Code: errcode.LockHeld.Number, Index: lock.Index, Holder: lock.Holder, FencingToken: lock.FencingToken, TTL: lock.TTL}, nil
}

// renew extends the holder's lease, by the lock's own time if the request names none. A
// longer time than the lock's is written first, so that a new leader does not end the
// lease early; any other renewal writes nothing.
func (s *shard) renew(ctx context.Context, term ids.Term, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	lock, ok := s.store.Get(KindLock, request.Name)
	if !ok || lock.Holder != request.Holder || lock.FencingToken != request.FencingToken {
		return notHeld(lock.FencingToken), nil
	}
	if current, _, isServing := s.replica.LeadershipSince(); !isServing || current != term {
		return nil, s.notLeader()
	}
	ttl := request.TTL
	if ttl == 0 {
		ttl = lock.TTL
	}
	if ttl > lock.TTL {
		if response, err := s.extendLease(request.Name, request.FencingToken, lock.TTL); err != nil || response.Code != 0 {
			return response, err
		}
		extend := &rpc.CoordinationRequest{Operation: opExtendTTL, Name: request.Name, Holder: request.Holder, FencingToken: request.FencingToken, TTL: ttl}
		if response, err := s.propose(ctx, extend); err != nil || response.Code != 0 {
			return response, err
		}
	}
	return s.extendLease(request.Name, request.FencingToken, ttl)
}

// extendLease makes a lease last for so many milliseconds from now, unless the lock has
// passed on meanwhile. A lease is never cut shorter than an earlier request made it.
func (s *shard) extendLease(name string, token ids.Index, ttl int64) (*rpc.CoordinationResponse, error) {
	term, _, isServing := s.replica.LeadershipSince()
	if !isServing {
		return nil, s.writeUnknown()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	leases := s.leasesIn(term)
	if leases == nil {
		return nil, s.writeUnknown()
	}
	lock, ok := s.store.Get(KindLock, name)
	if !ok || lock.FencingToken != token {
		return notHeld(token), nil
	}
	l := s.leaseOf(leases, lock)
	if l.revoking {
		return notHeld(token), nil
	}
	if expiresAt := s.after(ttl); expiresAt.After(l.expiresAt) {
		l.expiresAt = expiresAt
	}
	return &rpc.CoordinationResponse{FencingToken: token, TTL: ttl, Index: token}, nil
}

func notHeld(token ids.Index) *rpc.CoordinationResponse {
	return &rpc.CoordinationResponse{Code: errcode.NotLockHolder.Number, FencingToken: token}
}

// revoke proposes the entry that releases a lock whose lease has run out, one entry at a
// time, and returns a channel that is closed when it has ended. The caller holds s.mu and
// looks at the lock anew then: the entry may have failed.
func (s *shard) revoke(term ids.Term, lock rpc.CoordinationRecord, l *lease) <-chan struct{} {
	l.revoking = true
	if l.revoked != nil {
		return l.revoked
	}
	revoked := make(chan struct{})
	l.revoked = revoked
	s.env.Go(func() {
		ctx, cancel := context.WithTimeout(s.env, maintenanceTimeout)
		defer cancel()
		if current, _, isServing := s.replica.LeadershipSince(); isServing && current == term {
			s.replica.Propose(ctx, &rpc.CoordinationRequest{Operation: OpExpire, Name: lock.Name, FencingToken: lock.FencingToken})
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		l.revoked = nil
		close(revoked)
	})
	return revoked
}

// expireLeases revokes the leases that have run out, and forgets those whose locks are
// gone.
func (s *shard) expireLeases() {
	term, _, isServing := s.replica.LeadershipSince()
	if !isServing {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.store.Len(KindLock) == 0 {
		clear(s.leases.byName)
		return
	}
	leases := s.leasesIn(term)
	if leases == nil {
		return
	}
	locks, _ := s.store.List(KindLock, "")
	for _, lock := range locks {
		if l := s.leaseOf(leases, lock); s.hasEnded(l) {
			s.revoke(term, lock, l)
		}
	}
	if len(leases) == len(locks) {
		return
	}
	for name := range leases {
		if _, ok := s.store.Get(KindLock, name); !ok {
			delete(leases, name)
		}
	}
}
