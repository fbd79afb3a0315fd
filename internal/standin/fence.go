package standin

import (
	"net/http"
	"strconv"

	"github.com/sumactrestle/sumactrestle/internal/proxy"
)

// rejectSuperseded rejects a request if the fence doesn't allow its execution under its epoch, and
// reports whether it did. A request without an epoch is not rejected.
func (s *Server) rejectSuperseded(w http.ResponseWriter, r *http.Request) bool {
	epoch, err := strconv.ParseUint(r.Header.Get(proxy.HeaderEpoch), 10, 64)
	if err != nil || s.fence.Check(epoch, s.Network.Now()) == nil {
		return false
	}
	s.rejectSealed(w, r, proxy.NotRunSuperseded)
	return true
}

// rejectSealed sends a sealed response that the request was not executed, with the reason.
func (s *Server) rejectSealed(w http.ResponseWriter, r *http.Request, reason string) {
	const status = http.StatusServiceUnavailable
	requestID := s.recordRejection(r, status)
	w.Header().Set(HeaderNotRun, reason)
	w.Header().Set(proxy.HeaderSeal, proxy.Seal(s.SealKey, requestID, s.Service, s.Instance, status, nil))
	w.WriteHeader(status)
}
