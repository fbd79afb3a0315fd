package coordination

import (
	"context"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// lease is the period for which a lock is held, on the leader's monotonic clock. It starts
// when the write that granted it has completed. The holder counts from when it sent the
// request, so it considers the lease expired before the leader does.
type lease struct {
	token     ids.Index
	expiresAt time.Time
	// revoking is set when revocation of the expired lease starts. The lease can't be renewed
	// after that, even if the entry that releases the lock has to be proposed again.
	revoking   bool
	revokeDone chan struct{} // closed when the current attempt to revoke has ended; nil if there is none
}

// leaseTable holds the leases of a shard's locks during one term of this node's leadership.
// A new leader starts the lease of every existing lock with its full TTL.
type leaseTable struct {
	term   ids.Term
	byName map[string]*lease
}

// leasesForTerm returns the leases of a term, an empty map at the start of a new term, or nil
// if the term has ended. The caller holds s.mu.
func (s *shard) leasesForTerm(term ids.Term) map[string]*lease {
	if term.Less(s.leases.term) {
		return nil
	}
	if s.leases.term != term || s.leases.byName == nil {
		s.leases = leaseTable{term: term, byName: map[string]*lease{}}
	}
	return s.leases.byName
}

// ensureLease returns the lease of a lock, and starts it if leases has none for the lock's
// fencing token. The caller holds s.mu.
func (s *shard) ensureLease(leases map[string]*lease, lock rpc.CoordinationRecord) *lease {
	if l := leases[lock.Name]; l == nil || l.token != lock.FencingToken {
		leases[lock.Name] = &lease{token: lock.FencingToken, expiresAt: s.expiryTime(lock.TTL)}
	}
	return leases[lock.Name]
}

// expiryTime returns the expiry time of a lease that starts now. ttl is in milliseconds.
func (s *shard) expiryTime(ttl int64) time.Time {
	return s.env.Now().Add(time.Duration(ttl) * time.Millisecond)
}

func (s *shard) isExpired(l *lease) bool { return l.revoking || !s.env.Now().Before(l.expiresAt) }

// acquire acquires a lock. It writes nothing while another holder's lease is valid. If that
// lease has expired, it is revoked first.
func (s *shard) acquire(ctx context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	startedAt := s.env.Now()
	for isRepeat := s.store.IsCompleted(request.ID); !isRepeat; {
		term, _, isServing := s.replica.LeadershipSince()
		if !isServing {
			return nil, s.notLeader()
		}
		if lock, ok := s.store.Get(KindLock, request.Name); !ok || lock.Holder == request.Holder {
			break
		}
		if err := s.replica.ConfirmLeadership(ctx, startedAt); err != nil {
			return nil, err
		}
		rejection, revokeDone := s.conflict(term, request)
		if rejection != nil {
			return rejection, nil
		}
		if revokeDone == nil {
			continue
		}
		select {
		case <-revokeDone:
		case <-ctx.Done():
		}
		if ctx.Err() != nil || s.env.IsStopping() {
			return nil, errcode.New(errcode.NoLeader, "shard %d: the expired lease of the current holder was not revoked in time", s.id)
		}
	}
	acquire := *request
	acquire.RecordsAcquisition = true
	granted, err := s.propose(ctx, &acquire)
	if err != nil || granted.Code != 0 {
		return granted, err
	}
	s.logAcquired(request, granted)
	extended, err := s.extendLease(request.Name, granted.FencingToken, granted.TTL)
	if err != nil || extended.Code != 0 {
		return extended, err
	}
	return granted, nil
}

// release frees a lock at the request of its holder. A request that names no acquisition by its
// index ends the first one, whose index is the fencing token: it can't be told from a release
// that its caller gave up before it acquired the lock again. Such a lock is freed when its lease
// expires.
func (s *shard) release(ctx context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error) {
	release := *request
	if release.IfIndex == nil {
		release.IfIndex = &release.FencingToken
	}
	response, err := s.propose(ctx, &release)
	if err == nil {
		s.logRelease(&release, response)
	}
	return response, err
}

// conflict checks whether another holder has the lock. If its lease is valid, conflict returns
// the rejection. If its lease has expired, conflict starts to revoke it and returns a channel
// that is closed when the attempt has ended. Otherwise it returns nil, also if the term has
// ended.
func (s *shard) conflict(term ids.Term, request *rpc.CoordinationRequest) (rejection *rpc.CoordinationResponse, revokeDone <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leases := s.leasesForTerm(term)
	lock, ok := s.store.Get(KindLock, request.Name)
	if leases == nil || !ok || lock.Holder == request.Holder {
		return nil, nil
	}
	if l := s.ensureLease(leases, lock); s.isExpired(l) {
		return nil, s.revoke(term, lock, l)
	}
	return &rpc.CoordinationResponse{Code: errcode.LockHeld.Number, Index: lock.Index, Holder: lock.Holder, FencingToken: lock.FencingToken, TTL: lock.TTL}, nil
}

// renew extends the holder's lease by the request's TTL, or by the lock's TTL if the request
// has none. A TTL longer than the lock's is written first, so that a new leader does not end
// the lease early. Other renewals write nothing.
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

// extendLease sets a lease to expire ttl milliseconds from now, but never earlier than it
// already does. It rejects the request if the lock has another fencing token by now or its
// lease is being revoked.
func (s *shard) extendLease(name string, token ids.Index, ttl int64) (*rpc.CoordinationResponse, error) {
	term, _, isServing := s.replica.LeadershipSince()
	if !isServing {
		return nil, s.writeUnknown()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	leases := s.leasesForTerm(term)
	if leases == nil {
		return nil, s.writeUnknown()
	}
	lock, ok := s.store.Get(KindLock, name)
	if !ok || lock.FencingToken != token {
		return notHeld(token), nil
	}
	l := s.ensureLease(leases, lock)
	if l.revoking {
		return notHeld(token), nil
	}
	if expiresAt := s.expiryTime(ttl); expiresAt.After(l.expiresAt) {
		l.expiresAt = expiresAt
	}
	return &rpc.CoordinationResponse{FencingToken: token, TTL: ttl, Index: token}, nil
}

func notHeld(token ids.Index) *rpc.CoordinationResponse {
	return &rpc.CoordinationResponse{Code: errcode.NotLockHolder.Number, FencingToken: token}
}

// revoke proposes the entry that releases a lock whose lease has expired, unless such a
// proposal is in progress. It returns a channel that is closed when the proposal has ended.
// The proposal may fail, so the caller must check the lock again. The caller holds s.mu.
func (s *shard) revoke(term ids.Term, lock rpc.CoordinationRecord, l *lease) <-chan struct{} {
	l.revoking = true
	if l.revokeDone != nil {
		return l.revokeDone
	}
	done := make(chan struct{})
	l.revokeDone = done
	s.env.Go(func() {
		ctx, cancel := context.WithTimeout(s.env, maintenanceTimeout)
		defer cancel()
		// In a later term the lease may have been renewed by another leader.
		index, _, err := s.replica.ProposeInTerm(ctx, term, &rpc.CoordinationRequest{Operation: opExpire, Name: lock.Name, FencingToken: lock.FencingToken})
		if err == nil {
			s.logLock(eventlog.LockRevoked, lock.Name, "holder", lock.Holder, "fence", uint64(lock.FencingToken), "index", uint64(index))
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		l.revokeDone = nil
		close(done)
	})
	return done
}

// expireLeases starts to revoke expired leases, and drops the leases of locks that no longer
// exist.
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
	leases := s.leasesForTerm(term)
	if leases == nil {
		return
	}
	locks, _ := s.store.List(KindLock, "")
	for _, lock := range locks {
		if l := s.ensureLease(leases, lock); s.isExpired(l) {
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
