package coordination

import (
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// acquire grants a free lock to the request's holder. The entry's index becomes the fencing
// token, so the tokens of a lock increase with each grant. A holder that acquires the lock
// again keeps its token; the record's index shows that it did. The store has no clock: the
// leader proposes an entry that releases the lock when its lease has expired.
func (s *Store) acquire(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	lock, ok := s.records[KindLock][request.Name]
	if ok && lock.Holder != request.Holder {
		return reject(errcode.LockHeld, lock)
	}
	if !ok {
		s.putRecord(rpc.CoordinationRecord{Name: request.Name, Kind: KindLock, Holder: request.Holder, FencingToken: index, TTL: request.TTL, Value: request.Value, Index: index}, request.Value)
		return &rpc.CoordinationResponse{Index: index, Holder: request.Holder, FencingToken: index, TTL: request.TTL, Value: request.Value}
	}
	if request.RecordsAcquisition {
		lock.Index = index
	}
	s.extendTTL(lock, request.TTL)
	return &rpc.CoordinationResponse{Index: lock.Index, Holder: lock.Holder, FencingToken: lock.FencingToken, TTL: request.TTL, Value: lock.Value}
}

// extend raises the lock's TTL at the request of its holder.
func (s *Store) extend(_ ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	lock, ok := s.records[KindLock][request.Name]
	if !ok || lock.FencingToken != request.FencingToken || lock.Holder != request.Holder {
		return reject(errcode.NotLockHolder, lock)
	}
	s.extendTTL(lock, request.TTL)
	return &rpc.CoordinationResponse{Index: lock.Index, Holder: lock.Holder, FencingToken: lock.FencingToken, TTL: request.TTL}
}

// extendTTL raises the TTL in milliseconds with which a new leader starts the lock's lease.
// The TTL never decreases, because the holder may rely on an earlier, longer one.
func (s *Store) extendTTL(lock rpc.CoordinationRecord, ttl int64) {
	lock.TTL = max(lock.TTL, ttl)
	s.records.put(lock)
}

// release frees a lock at the request of its holder (OpRelease). The request's IfIndex, if set,
// is the index of the acquisition that it ends. A release may arrive long after its caller gave
// it up and acquired the lock again, which gets the same fencing token, so a release that names
// an earlier acquisition is rejected.
func (s *Store) release(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	lock, ok := s.records[KindLock][request.Name]
	if !ok || lock.FencingToken != request.FencingToken || lock.Holder != request.Holder {
		return reject(errcode.NotLockHolder, lock)
	}
	if request.IfIndex != nil && *request.IfIndex != lock.Index {
		return reject(errcode.LockReacquired, lock)
	}
	s.removeRecord(index, lock)
	return &rpc.CoordinationResponse{Index: index}
}

// expire frees a lock whose lease for the request's fencing token has expired (opExpire).
func (s *Store) expire(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	lock, ok := s.records[KindLock][request.Name]
	if !ok || lock.FencingToken != request.FencingToken {
		return reject(errcode.NotLockHolder, lock)
	}
	s.removeRecord(index, lock)
	return &rpc.CoordinationResponse{Index: index}
}
