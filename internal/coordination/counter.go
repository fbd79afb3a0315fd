package coordination

import (
	"encoding/json"
	"strconv"

	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// add adds the request's Delta to a counter, which starts at zero. The event's value is the
// new count.
func (s *Store) add(index ids.Index, request *rpc.CoordinationRequest) *rpc.CoordinationResponse {
	count := s.records[KindCounter][request.Name].Count + request.Delta
	value := json.RawMessage(strconv.FormatInt(count, 10))
	s.putRecord(rpc.CoordinationRecord{Name: request.Name, Kind: KindCounter, Count: count, Index: index}, value)
	return &rpc.CoordinationResponse{Index: index, Count: count}
}
