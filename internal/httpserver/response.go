package httpserver

import "net/http"

// announceClose adds "Connection: close" to each response that is written after the server has
// stopped accepting connections (RFC 9112, section 9.6).
func (s *Server) announceClose(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wrapped := &response{ResponseWriter: w, server: s}
		handler.ServeHTTP(wrapped, r)
		if !wrapped.wroteHeader && s.isShuttingDown() {
			w.Header().Set("Connection", "close")
		}
	})
}

// response is a ResponseWriter that announces the close of the connection.
type response struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
}

// WriteHeader writes the status line and the header. Informational (1xx) ones may precede the
// final one.
func (r *response) WriteHeader(status int) {
	if status >= http.StatusOK {
		r.wroteHeader = true
	}
	if r.server.isShuttingDown() {
		r.Header().Set("Connection", "close")
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the header if that has not been written.
func (r *response) Write(data []byte) (int, error) {
	if !r.wroteHeader {
		r.WriteHeader(http.StatusOK)
	}
	return r.ResponseWriter.Write(data)
}

// Unwrap returns the underlying ResponseWriter, for http.ResponseController.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }
