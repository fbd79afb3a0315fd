package coordination

import (
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// acquire gives a free lock to the holder, under the entry's index as its fencing token:
// the tokens of a lock grow from holder to holder. A holder that acquires again keeps its
// token. The store knows no time; a lease that ran out is released by the leader's entry.
func (s *Store) acquire(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	lock, ok := s.records[KindLock][request.Name]
	if ok && lock.Holder != request.Holder {
		return reject(errcode.LockHeld, lock)
	}
	if ok {
		s.extendTTL(lock, request.TTL)
		return &rpc.CoordinationResponse{Index: lock.Index, Holder: lock.Holder, FencingToken: lock.FencingToken, TTL: request.TTL, Value: lock.Value}
	}
	s.putRecord(rpc.CoordinationRecord{Name: request.Name, Kind: KindLock, Holder: request.Holder, FencingToken: index, TTL: request.TTL, Value: request.Value, Index: index}, request.Value)
	return &rpc.CoordinationResponse{Index: index, Holder: request.Holder, FencingToken: index, TTL: request.TTL, Value: request.Value}
}

// extend records a longer time to live for the lock's holder.
func (s *Store) extend(_ ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	lock, ok := s.records[KindLock][request.Name]
	if !ok || lock.FencingToken != request.FencingToken || lock.Holder != request.Holder {
		return reject(errcode.NotLockHolder, lock)
	}
	s.extendTTL(lock, request.TTL)
	return &rpc.CoordinationResponse{Index: lock.Index, Holder: lock.Holder, FencingToken: lock.FencingToken, TTL: request.TTL}
}

// extendTTL raises the time that a lock's lease starts with under a new leader. It never
// falls: a request that asked for more may still count on it.
func (s *Store) extendTTL(lock rpc.CoordinationRecord, ttl int64) {
	lock.TTL = max(lock.TTL, ttl)
	s.records.put(lock)
}

// release frees a lock: at its holder's request, or by the leader (OpExpire) when the
// lease under that fencing token ran out.
func (s *Store) release(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	lock, ok := s.records[KindLock][request.Name]
	if !ok || lock.FencingToken != request.FencingToken || request.Operation == OpRelease && lock.Holder != request.Holder {
		return reject(errcode.NotLockHolder, lock)
	}
	s.removeRecord(index, lock)
	return &rpc.CoordinationResponse{Index: index}
}
