package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// coordinationError is a refused coordination call. Its answer tells the revision, the fencing
// token and the holder in force too.
type coordinationError struct {
	problem  errcode.Error
	response rpc.CoordinationResponse
}

func (e *coordinationError) Error() string { return e.problem.Error() }
func (e *coordinationError) Unwrap() error { return &e.problem }

// problemOf is the numbered answer of an error. It asks for a retry after one to three seconds
// where a later one may succeed.
func problemOf(err error) *api.ProblemStatusCodeWithHeaders {
	e := errcode.From(err)
	out := &api.ProblemStatusCodeWithHeaders{StatusCode: e.Code.Status, Response: api.Problem{Code: e.Code.Number, Name: e.Code.Name, Text: e.Code.Text, Paths: e.Paths}}
	if e.Note != "" {
		out.Response.Note = api.NewOptString(e.Note)
	}
	if e.Code.Outcome != "" {
		out.Response.Outcome = api.NewOptString(e.Code.Outcome)
	}
	var refused *coordinationError
	if errors.As(err, &refused) {
		out.Response.Stamp = api.NewOptUint64(uint64(refused.response.Index))
		out.Response.Fence = api.NewOptUint64(uint64(refused.response.FencingToken))
		if refused.response.Holder != "" {
			out.Response.Holder = api.NewOptString(refused.response.Holder)
		}
	}
	if e.Code.Status >= 500 || e.Code == errcode.LockHeld {
		out.RetryAfter = api.NewOptInt(1 + rand.IntN(3))
	}
	return out
}

// writeProblem answers a request that the generated code does not.
func writeProblem(w http.ResponseWriter, err error) {
	out := problemOf(err)
	raw, _ := out.Response.MarshalJSON()
	w.Header().Set("Content-Type", "application/json")
	if wait, ok := out.RetryAfter.Get(); ok {
		w.Header().Set("Retry-After", strconv.Itoa(wait))
	}
	w.WriteHeader(out.StatusCode)
	w.Write(raw)
}

// writeInvalidCall answers a request that the generated code could not read.
func writeInvalidCall(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	code := errcode.InvalidCall
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/beats"):
		code = errcode.InvalidHeartbeat
	case strings.HasPrefix(r.URL.Path, "/v1/changes"):
		code = errcode.InvalidChange
	}
	if ogenerrors.ErrorCode(err) >= 500 {
		code = errcode.Internal
	}
	writeProblem(w, errcode.New(code, "%v", err))
}

// writeNotFound answers a request for which the API has no path.
func writeNotFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, &errcode.Error{Code: errcode.Code{Number: errcode.InvalidCall.Number, Name: errcode.InvalidCall.Name, Status: 404, Text: errcode.InvalidCall.Text}, Note: "no such call: " + r.Method + " " + r.URL.Path})
}
