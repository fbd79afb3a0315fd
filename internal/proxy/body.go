package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
)

// maxReplayableBody is the maximum size in bytes of a body that is buffered for retries.
const maxReplayableBody = 64 << 10

// errBodyTooLarge is returned by the read of a streamed body that exceeds its limit.
var errBodyTooLarge = errors.New("request body too large")

// requestBody returns a function that opens the request's body for an attempt; the reader is
// nil if there is no body. Small bodies are buffered and can be opened again (replayable);
// others are streamed. With opaque seals every body is buffered, because targets can't be
// asked whether they want it.
func (p *Proxy) requestBody(ctx context.Context, plan *requestPlan, r *http.Request) (open func() io.Reader, replayable bool, err error) {
	maxBytes := int64(p.environment.Config.ProxyMaxRequestBytes)
	if limits := plan.snapshot.ClientLimits; limits != nil && limits.BodyBytes > 0 {
		maxBytes = min(maxBytes, limits.BodyBytes)
	}
	if r.ContentLength > maxBytes {
		return nil, false, errcode.New(errcode.RequestTooLarge, "%d bytes", r.ContentLength)
	}
	if r.ContentLength == 0 {
		return func() io.Reader { return nil }, true, nil
	}
	release, err := p.admitBody(ctx, plan, r.ContentLength)
	if err != nil {
		return nil, false, err
	}
	defer release()
	plan.bodyRead = true
	if r.ContentLength > 0 && (r.ContentLength <= maxReplayableBody || p.opaqueSeals) {
		buffered := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, buffered); err != nil {
			return nil, false, errcode.New(errcode.BadRequest, "request body ended early; nothing was forwarded")
		}
		return func() io.Reader { return bytes.NewReader(buffered) }, true, nil
	}
	if p.opaqueSeals {
		buffered, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
		if err != nil {
			return nil, false, errcode.New(errcode.BadRequest, "request body ended early; nothing was forwarded")
		}
		if int64(len(buffered)) > maxBytes {
			return nil, false, errcode.New(errcode.RequestTooLarge, "over %d bytes", maxBytes)
		}
		r.ContentLength = int64(len(buffered))
		return func() io.Reader { return bytes.NewReader(buffered) }, true, nil
	}
	stream := &streamedBody{source: r.Body, remaining: maxBytes}
	return func() io.Reader { return stream }, false, nil
}

// admitBody waits until a body of the given size in bytes may be read. The caller must call
// release when the body has been read.
func (p *Proxy) admitBody(ctx context.Context, plan *requestPlan, size int64) (release func(), err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.lifecycle.admissionContext, cancel)()
	deadline := plan.uploadDeadline(time.Now())
	isAdmitted := p.uploads.Admit(ctx, size, deadline)
	if isAdmitted {
		release, isAdmitted = p.uploads.BeginRead(ctx, size, deadline)
	}
	switch {
	case isAdmitted:
		return release, nil
	case p.lifecycle.admissionContext.Err() != nil:
		return nil, errcode.New(errcode.Stopping, "%s", plan.service.Name)
	}
	return nil, errcode.New(errcode.Overload, "the link has no capacity for %d bytes in time", size)
}

// streamedBody is a client's body that is forwarded while it is received. It keeps a read
// error, to distinguish a failure of the client's connection from one of the target's.
type streamedBody struct {
	source    io.Reader
	remaining int64 // bytes that may still be read
	sourceErr error
	// beforeFirstRead, if set, is called by Read until it succeeds; its errors are returned.
	beforeFirstRead func() error
}

func (s *streamedBody) Read(buffer []byte) (int, error) {
	if s.beforeFirstRead != nil {
		if err := s.beforeFirstRead(); err != nil {
			return 0, err
		}
		s.beforeFirstRead = nil
	}
	n, err := s.source.Read(buffer)
	if s.remaining -= int64(n); s.remaining < 0 {
		err = errBodyTooLarge
	}
	if err != nil && err != io.EOF {
		s.sourceErr = err
	}
	return n, err
}

// uncloseableBody is a body whose Close does nothing. Writing a request closes its body, but
// this one belongs to the client's request.
type uncloseableBody struct{ io.Reader }

func (uncloseableBody) Close() error { return nil }

// streamOf returns the streamed body of a request to a target, or nil if it has none.
func streamOf(request *http.Request) *streamedBody {
	if body, ok := request.Body.(uncloseableBody); ok {
		if stream, ok := body.Reader.(*streamedBody); ok {
			return stream
		}
	}
	return nil
}
