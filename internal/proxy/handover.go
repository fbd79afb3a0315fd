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

// requestWriter writes one request to one target. It calls check immediately before the first
// byte, and again before a streamed body. If check fails, the request is withheld: nothing was
// written, or only the head, and a target doesn't run a request without its body.
type requestWriter struct {
	connection *upstream.Connection
	// check returns an error if the request must no longer be sent to the target.
	check func() error
	// onFirstWrite is called once, after the first write has succeeded or failed.
	onFirstWrite func()

	checkedAt   time.Time // when check succeeded before the first byte; zero before that
	written     int       // bytes
	withheldErr error     // why the rest was withheld; nil if it was written or a write failed
}

// Write implements io.Writer. It writes a part of the request to the connection.
func (w *requestWriter) Write(data []byte) (int, error) {
	if w.checkedAt.IsZero() {
		if w.withheldErr = w.check(); w.withheldErr != nil {
			return 0, w.withheldErr
		}
		w.checkedAt = time.Now()
		defer w.onFirstWrite() // deferred, so that nothing delays the write after the check
	}
	n, err := w.connection.Write(data)
	w.written += n
	return n, err
}

// writeRequest writes the request. It may be called only once. A streamed body is written only
// after the target requests it (Expect: 100-continue, RFC 9110, section 10.1.1).
func (w *requestWriter) writeRequest(ctx context.Context, request *http.Request) error {
	stream := streamOf(request)
	if stream == nil {
		return request.Write(w)
	}
	buffer := bufio.NewWriter(w)
	stream.beforeFirstRead = func() error {
		if err := buffer.Flush(); err != nil {
			return err
		}
		w.withheldErr = w.awaitContinue(ctx)
		return w.withheldErr
	}
	request.Header.Set("Expect", "100-continue")
	if err := request.Write(buffer); err != nil {
		return err
	}
	return buffer.Flush()
}

// awaitContinue waits until the target requests the body. If that is more than
// upstream.UnackedTimeout after the check before the first byte, even if only this process was
// delayed, the body is withheld: the target would run the request under an outdated
// configuration.
func (w *requestWriter) awaitContinue(ctx context.Context) error {
	if err := w.connection.AwaitContinue(ctx); err != nil {
		return err
	}
	switch {
	case ctx.Err() != nil:
		// The connection may close at the same moment, which also makes AwaitContinue succeed.
		return ctx.Err()
	case time.Since(w.checkedAt) > upstream.UnackedTimeout:
		return upstream.ErrContinueTimeout
	}
	return w.check()
}

// isWithheld reports whether the request or its body was intentionally not written.
func (w *requestWriter) isWithheld() bool { return w.withheldErr != nil }

// withheldError returns the error of a withheld request, which has not run.
func (p *Proxy) withheldError(writer *requestWriter, instance string) error {
	switch {
	case errors.Is(writer.withheldErr, errcode.NotFresh):
		return writer.withheldErr
	case p.lifecycle.isAborted():
		return errcode.New(errcode.Stopping, "%s: the body was not sent", instance)
	}
	return errcode.New(errcode.NotWritten, "%s: the body was not sent: %v", instance, writer.withheldErr)
}

// snapshotFor returns the snapshot under which the request is sent to the target: the current
// one, if it is fresh, contains the target, and matches the request to the plan's route. The
// request carries the current epoch, not the plan's, because the plan may be seconds old after
// waiting for the body, admission, an idempotency record, connections and other targets.
func (p *Proxy) snapshotFor(plan *requestPlan, r *http.Request, ep *endpoint.Endpoint) (*distribution.Snapshot, error) {
	view := p.epoch.Load()
	if !view.endpointKeys[ep.Key] || !p.configuration.IsFresh(view.snapshot, plan.service.Name) {
		return nil, errcode.New(errcode.NotFresh, "epoch %d", view.snapshot.Epoch)
	}
	if view.snapshot != plan.snapshot {
		if route := view.routes.Match(r); route == nil || route != plan.route && !reflect.DeepEqual(route, plan.route) {
			return nil, errcode.New(errcode.NotFresh, "the route changed in epoch %d", view.snapshot.Epoch)
		}
	}
	return view.snapshot, nil
}
