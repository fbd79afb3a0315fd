package coordination

import "github.com/sumactrestle/sumactrestle/internal/rpc"

// maxCompleted is the number of completed request IDs that a shard keeps. The oldest are
// dropped first.
const maxCompleted = 8192

// completedRequests keeps responses by request ID, so that a repeated request gets the
// response to the first one.
type completedRequests struct {
	responses map[string]rpc.CoordinationResponse
	order     []string // request IDs, oldest first
}

func newCompletedRequests(list []rpc.CompletedRequest) completedRequests {
	c := completedRequests{responses: map[string]rpc.CoordinationResponse{}}
	for _, request := range list {
		c.responses[request.ID] = request.Response
		c.order = append(c.order, request.ID)
	}
	return c
}

// lookup returns the response kept for a request ID. There is none for the empty ID.
func (c *completedRequests) lookup(id string) (rpc.CoordinationResponse, bool) {
	response, ok := c.responses[id]
	return response, ok && id != ""
}

func (c *completedRequests) add(id string, response rpc.CoordinationResponse) {
	if id == "" {
		return
	}
	c.responses[id] = response
	c.order = append(c.order, id)
	if len(c.order) > maxCompleted {
		delete(c.responses, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *completedRequests) list() []rpc.CompletedRequest {
	list := make([]rpc.CompletedRequest, 0, len(c.order))
	for _, id := range c.order {
		list = append(list, rpc.CompletedRequest{ID: id, Response: c.responses[id]})
	}
	return list
}

// IsCompleted reports whether a response is kept for a request ID.
func (s *Store) IsCompleted(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.completed.lookup(id)
	return ok
}
