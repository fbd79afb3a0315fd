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

// coordinationError is the error of a rejected coordination call. Its API response also contains
// the current revision, fencing token and holder.
type coordinationError struct {
	problem  errcode.Error
	response rpc.CoordinationResponse
}

func (e *coordinationError) Error() string { return e.problem.Error() }
func (e *coordinationError) Unwrap() error { return &e.problem }

// problemOf converts an error to an API response with its code. If a retry may succeed, it sets
// Retry-After to one to three seconds, chosen at random.
func problemOf(err error) *api.ProblemStatusCodeWithHeaders {
	e := errcode.From(err)
	problem := &api.ProblemStatusCodeWithHeaders{StatusCode: e.Code.Status, Response: api.Problem{Code: e.Code.Number, Name: e.Code.Name, Text: e.Code.Text, Paths: e.Paths}}
	if e.Note != "" {
		problem.Response.Note = api.NewOptString(e.Note)
	}
	if e.Code.Outcome != "" {
		problem.Response.Outcome = api.NewOptString(e.Code.Outcome)
	}
	var rejected *coordinationError
	if errors.As(err, &rejected) {
		problem.Response.Stamp = api.NewOptUint64(uint64(rejected.response.Index))
		problem.Response.Fence = api.NewOptUint64(uint64(rejected.response.FencingToken))
		if rejected.response.Holder != "" {
			problem.Response.Holder = api.NewOptString(rejected.response.Holder)
		}
	}
	if e.Code.Status >= 500 || e.Code == errcode.LockHeld {
		problem.RetryAfter = api.NewOptInt(1 + rand.IntN(3))
	}
	return problem
}

// writeProblem writes the error response to a request that the generated code did not answer.
func writeProblem(w http.ResponseWriter, err error) {
	problem := problemOf(err)
	raw, _ := problem.Response.MarshalJSON()
	w.Header().Set("Content-Type", "application/json")
	if wait, ok := problem.RetryAfter.Get(); ok {
		w.Header().Set("Retry-After", strconv.Itoa(wait))
	}
	w.WriteHeader(problem.StatusCode)
	w.Write(raw)
}

// writeInvalidCall answers a request that the generated code could not decode.
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

// writeNotFound answers a request whose path is not part of the API.
func writeNotFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, &errcode.Error{Code: errcode.Code{Number: errcode.InvalidCall.Number, Name: errcode.InvalidCall.Name, Status: 404, Text: errcode.InvalidCall.Text}, Note: "no such call: " + r.Method + " " + r.URL.Path})
}
