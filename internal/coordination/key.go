package coordination

import (
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// put writes a key. On a condition it is done only if the key's index is the one named;
// zero stands for a key that is not there.
func (s *Store) put(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	current := s.records[KindKey][request.Name]
	if request.IfIndex != nil && *request.IfIndex != current.Index {
		return reject(errcode.RevisionMismatch, current)
	}
	s.putRecord(rpc.CoordinationRecord{Name: request.Name, Kind: KindKey, Value: request.Value, Index: index}, request.Value)
	return &rpc.CoordinationResponse{Index: index, Value: request.Value}
}

// delete removes a key, on the same condition as put.
func (s *Store) delete(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	current, ok := s.records[KindKey][request.Name]
	if request.IfIndex != nil && *request.IfIndex != current.Index {
		return reject(errcode.RevisionMismatch, current)
	}
	if !ok {
		return reject(errcode.KeyNotFound, current)
	}
	s.removeRecord(index, current)
	return &rpc.CoordinationResponse{Index: index}
}
