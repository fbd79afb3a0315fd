package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/proxy"
)

// rejectSuperseded answers a request whose epoch is too old to be executed.
func (s *Server) rejectSuperseded(w http.ResponseWriter, r *http.Request) bool {
	epoch, err := strconv.ParseUint(r.Header.Get(proxy.HeaderEpoch), 10, 64)
	if err != nil || s.fence.Check(epoch, time.Now()) == nil {
		return false
	}
	const status = http.StatusServiceUnavailable
	requestID := s.recordRejection(r, status)
	w.Header().Set(HeaderNotRun, proxy.NotRunSuperseded)
	w.Header().Set(proxy.HeaderSeal, proxy.Seal(s.SealKey, requestID, s.Service, s.Instance, status, nil))
	w.WriteHeader(status)
	return true
}
