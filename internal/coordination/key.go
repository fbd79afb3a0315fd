package coordination

import (
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// put writes a key. If the request has an IfIndex, the key's current index must equal it;
// zero means that the key must not exist.
func (s *Store) put(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	current := s.records[KindKey][request.Name]
	if request.IfIndex != nil && *request.IfIndex != current.Index {
		return reject(errcode.RevisionMismatch, current)
	}
	s.putRecord(rpc.CoordinationRecord{Name: request.Name, Kind: KindKey, Value: request.Value, Index: index}, request.Value)
	return &rpc.CoordinationResponse{Index: index, Value: request.Value}
}

// delete removes a key, under the same condition as put.
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
