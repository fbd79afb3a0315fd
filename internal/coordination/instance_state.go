package coordination

import (
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// stateLeaving is the final announced state: an instance that leaves does not return with
// the same ID.
const stateLeaving = "leaving"

// setInstanceState records the state that an instance announced in a heartbeat. It rejects
// heartbeats with a lower sequence number than the recorded one. It publishes no event.
func (s *Store) setInstanceState(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	current, ok := s.records[KindInstanceState][request.Name]
	if ok && (current.Sequence > request.Sequence || current.Holder == stateLeaving) {
		return reject(errcode.RevisionMismatch, current)
	}
	s.records.put(rpc.CoordinationRecord{Name: request.Name, Kind: KindInstanceState, Holder: request.Holder, Sequence: request.Sequence, Index: index})
	return &rpc.CoordinationResponse{Index: index, Holder: request.Holder}
}

// clearInstanceState removes the announced state of an instance that serves again or has been
// absent for a long time. It rejects requests with a lower sequence number than the recorded one.
func (s *Store) clearInstanceState(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	current, ok := s.records[KindInstanceState][request.Name]
	if !ok || current.Sequence > request.Sequence {
		return reject(errcode.KeyNotFound, current)
	}
	delete(s.records[KindInstanceState], request.Name)
	return &rpc.CoordinationResponse{Index: index}
}
