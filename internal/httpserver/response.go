package httpserver

import "net/http"

// announceEnd has each response that is written while the server ends tell the client that the
// connection is closed behind it (RFC 9112, section 9.6).
func (s *Server) announceEnd(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		announced := &response{ResponseWriter: w, server: s}
		handler.ServeHTTP(announced, r)
		if !announced.hasHead && s.hasEnded() {
			w.Header().Set("Connection", "close")
		}
	})
}

// response is a response whose head tells whether the connection ends.
type response struct {
	http.ResponseWriter
	server  *Server
	hasHead bool
}

// WriteHeader writes the head.
func (r *response) WriteHeader(status int) {
	if status >= http.StatusOK {
		r.hasHead = true
	}
	if r.server.hasEnded() {
		r.Header().Set("Connection", "close")
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, and the head before it if there was none.
func (r *response) Write(data []byte) (int, error) {
	if !r.hasHead {
		r.WriteHeader(http.StatusOK)
	}
	return r.ResponseWriter.Write(data)
}

// Unwrap is for http.ResponseController.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }
