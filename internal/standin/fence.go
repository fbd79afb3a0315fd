package standin

import (
	"net/http"
	"strconv"

	"github.com/sumactrestle/sumactrestle/internal/proxy"
)

// rejectSuperseded answers a request whose epoch is too old to be executed.
func (s *Server) rejectSuperseded(w http.ResponseWriter, r *http.Request) bool {
	epoch, err := strconv.ParseUint(r.Header.Get(proxy.HeaderEpoch), 10, 64)
	if err != nil || s.fence.Check(epoch, s.Network.Now()) == nil {
		return false
	}
	s.rejectSealed(w, r, proxy.NotRunSuperseded)
	return true
}

// rejectSealed says, under the server's seal, that a request was not executed, and why.
func (s *Server) rejectSealed(w http.ResponseWriter, r *http.Request, reason string) {
	const status = http.StatusServiceUnavailable
	requestID := s.recordRejection(r, status)
	w.Header().Set(HeaderNotRun, reason)
	w.Header().Set(proxy.HeaderSeal, proxy.Seal(s.SealKey, requestID, s.Service, s.Instance, status, nil))
	w.WriteHeader(status)
}
