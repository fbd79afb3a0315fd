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

// maxReplayableBody is up to how many bytes a body is buffered, so that it can be sent again.
const maxReplayableBody = 64 << 10

// errBodyTooLarge ends a streamed body that is larger than allowed.
var errBodyTooLarge = errors.New("the body is too large")

// requestBody returns a function that opens the request's body for an attempt; the reader is
// nil if there is no body. Small bodies are buffered and can be opened again (replayable),
// others stream. Where seals are opaque, targets can't be asked whether they want a body, so
// it is buffered in any case.
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
			return nil, false, errcode.New(errcode.BadRequest, "the body ended early; nothing was forwarded")
		}
		return func() io.Reader { return bytes.NewReader(buffered) }, true, nil
	}
	if p.opaqueSeals {
		buffered, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
		if err != nil {
			return nil, false, errcode.New(errcode.BadRequest, "the body ended early; nothing was forwarded")
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

// admitBody waits for the turn of a body that is about to be read. The caller ends the reading
// with release.
func (p *Proxy) admitBody(ctx context.Context, plan *requestPlan, size int64) (release func(), err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.lifecycle.admissions, cancel)()
	deadline := plan.uploadDeadline(time.Now())
	isAdmitted := p.uploads.Admit(ctx, size, deadline)
	if isAdmitted {
		release, isAdmitted = p.uploads.BeginRead(ctx, size, deadline)
	}
	switch {
	case isAdmitted:
		return release, nil
	case p.lifecycle.admissions.Err() != nil:
		return nil, errcode.New(errcode.Stopping, "%s", plan.service.Name)
	}
	return nil, errcode.New(errcode.Overload, "no turn on the link for %d bytes in time", size)
}

// streamedBody is a client's body that is forwarded as it comes. It remembers an error of
// the client's side, to tell it from one of the target's.
type streamedBody struct {
	source    io.Reader
	remaining int64 // bytes that it may still have
	err       error
	// beforeFirstRead, if set, is called once before the first read; its error ends the body.
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
		s.err = err
	}
	return n, err
}

// uncloseableBody is a body that a failed write closes without effect: it belongs to the
// client's request.
type uncloseableBody struct{ io.Reader }

func (uncloseableBody) Close() error { return nil }

// streamOf is the streamed body of a request to a target; nil if it has none.
func streamOf(request *http.Request) *streamedBody {
	if body, ok := request.Body.(uncloseableBody); ok {
		if stream, ok := body.Reader.(*streamedBody); ok {
			return stream
		}
	}
	return nil
}
