package proxy

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"reflect"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/distribution"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/proxy/endpoint"
	"github.com/sumactrestle/sumactrestle/internal/proxy/upstream"
)

// handOver is the writing of one request to one target. It asks right before the first byte
// whether the request may still be handed over, and again before a body that streams. Where
// the answer is no, what has not been asked for was not written: nothing, or nothing but the
// head, and without its body nothing runs.
type handOver struct {
	connection *upstream.Connection
	// check returns why the request may not be handed over any more; nil if it may.
	check func() error
	// onBegin is called once, as soon as the first bytes are written or could not be.
	onBegin func()

	checkedAt time.Time // of the first byte; zero before
	written   int       // bytes
	err       error     // why the rest was not written; nil if it was, or if writing itself failed
}

// Write writes a part of the request.
func (h *handOver) Write(data []byte) (int, error) {
	if h.checkedAt.IsZero() {
		if h.err = h.check(); h.err != nil {
			return 0, h.err
		}
		h.checkedAt = time.Now()
		defer h.onBegin() // nothing stands between the check and the write
	}
	n, err := h.connection.Write(data)
	h.written += n
	return n, err
}

// writeRequest writes the request, once. A body that streams follows its head only when the
// server wants it (Expect: 100-continue, RFC 9110, section 10.1.1).
func (h *handOver) writeRequest(ctx context.Context, request *http.Request) error {
	stream := streamOf(request)
	if stream == nil {
		return request.Write(h)
	}
	buffer := bufio.NewWriter(h)
	stream.beforeFirstRead = func() error {
		if err := buffer.Flush(); err != nil {
			return err
		}
		h.err = h.awaitContinue(ctx)
		return h.err
	}
	request.Header.Set("Expect", "100-continue")
	if err := request.Write(buffer); err != nil {
		return err
	}
	return buffer.Flush()
}

// awaitContinue waits until the server wants the body. A head that is taken later than
// upstream.UnackedTimeout after it was checked is given up, also where this process itself was
// held up: the server would run the request under a configuration that is long past.
func (h *handOver) awaitContinue(ctx context.Context) error {
	if err := h.connection.AwaitContinue(ctx); err != nil {
		return err
	}
	switch {
	case ctx.Err() != nil:
		// The connection ends at the same moment, which looks as if the server had answered.
		return ctx.Err()
	case time.Since(h.checkedAt) > upstream.UnackedTimeout:
		return upstream.ErrContinueTimeout
	}
	return h.check()
}

// isWithheld tells whether what would have let the request run was held back on purpose.
func (h *handOver) isWithheld() bool { return h.err != nil }

// withheldError is the error of a request that was withheld: it has not run.
func (p *Proxy) withheldError(h *handOver, instance string) error {
	switch {
	case errors.Is(h.err, errcode.NotFresh):
		return h.err
	case p.lifecycle.isOver():
		return errcode.New(errcode.Stopping, "%s: the body was not sent", instance)
	}
	return errcode.New(errcode.NotWritten, "%s: the body was not sent: %v", instance, h.err)
}

// snapshotFor returns the epoch under which the request is handed to the target: the one in
// use, if it is fresh, the target is in it, and it leads the request to the same route as the
// plan's. The plan may be seconds old: its body, its turn, an idempotency record, connections
// and other targets were waited for. So the request names this epoch, and not the plan's.
func (p *Proxy) snapshotFor(plan *requestPlan, r *http.Request, to *endpoint.Endpoint) (*distribution.Snapshot, error) {
	view := p.epoch.Load()
	if !view.endpointKeys[to.Key] || !p.configuration.IsFresh(view.snapshot, plan.service.Name) {
		return nil, errcode.New(errcode.NotFresh, "epoch %d", view.snapshot.Epoch)
	}
	if view.snapshot != plan.snapshot {
		if route := view.routes.Match(r); route == nil || route != plan.route && !reflect.DeepEqual(route, plan.route) {
			return nil, errcode.New(errcode.NotFresh, "the route changed in epoch %d", view.snapshot.Epoch)
		}
	}
	return view.snapshot, nil
}
