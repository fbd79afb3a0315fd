// The desk is the generated API's handler: it turns each call into an op on the
// call's part and passes it to that part's owner, and turns problems into
// numbered answers.
package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Deadlines of calls that name none.
const (
	callTimeout      = 3 * time.Second
	heartbeatTimeout = 2 * time.Second
)

type apiHandler struct{ n *Node }

var _ api.Handler = (*apiHandler)(nil)

func (d *apiHandler) Beat(ctx context.Context, req *api.Beat) (*api.Taken, error) {
	beat := &rpc.TargetHeartbeat{Service: req.Service, Instance: req.Instance, Sequence: req.Seq, Address: req.Address, Zone: req.Zone.Or(""), Weight: req.Weight.Or(100), State: string(req.State)}
	if _, err := d.n.Heartbeat(ctx, beat); err != nil {
		return nil, err
	}
	return &api.Taken{Again: int(d.n.Env.Config.ControlplaneHeartbeatPeriod.Milliseconds())}, nil
}

func (d *apiHandler) Submit(ctx context.Context, req *api.Change) (*api.ChangeReceipt, error) {
	var change rpc.ChangeSet
	if err := convert(req, &change); err != nil {
		return nil, err
	}
	receipt, err := d.n.Submit(ctx, &change)
	if err != nil {
		return nil, err
	}
	out := &api.ChangeReceipt{}
	return out, convert(receipt, out)
}

func (d *apiHandler) AskChange(ctx context.Context, params api.AskChangeParams) (*api.ChangeReceipt, error) {
	limited, end := context.WithTimeout(ctx, callTimeout)
	defer end()
	receipt := &api.ChangeReceipt{}
	return receipt, d.n.forward(limited, operation{ids.ConfigShard, "change", params.ID}, 0, receipt)
}

func (d *apiHandler) Epoch(ctx context.Context) (*api.EpochView, error) {
	limited, end := context.WithTimeout(ctx, callTimeout)
	defer end()
	view := &api.EpochView{}
	return view, d.n.forward(limited, operation{ids.ConfigShard, "epoch", nil}, 0, view)
}

// coordinate passes a coordination call; a code in the receipt becomes a problem.
func (d *apiHandler) coordinate(ctx context.Context, call *rpc.CoordinationRequest) (*api.Receipt, error) {
	receipt, err := d.n.Coordinate(ctx, call)
	if err != nil {
		return nil, err
	}
	if receipt.Code != 0 {
		code, ok := errcode.Codes[receipt.Code]
		if !ok {
			code = errcode.Internal
		}
		return nil, &coordinationError{errcode.Error{Code: code, Note: receipt.Note}, *receipt}
	}
	out := &api.Receipt{}
	return out, convert(receipt, out)
}

// coordinationError is a problem that says more: the stamp, fence and holder in force.
type coordinationError struct {
	problem  errcode.Error
	response rpc.CoordinationResponse
}

func (t *coordinationError) Error() string { return t.problem.Error() }
func (t *coordinationError) Unwrap() error { return &t.problem }

func coordinationRequest(op string, req *api.Call) *rpc.CoordinationRequest {
	call := &rpc.CoordinationRequest{Operation: op, ID: req.ID.Or(""), Name: req.Name, Value: json.RawMessage(req.Value), Delta: req.Delta.Or(1), Holder: req.Holder.Or(""), TTL: req.TTL.Or(0), FencingToken: ids.Index(req.Fence.Or(0))}
	if stamp, ok := req.If.Get(); ok {
		wanted := ids.Index(stamp)
		call.IfIndex = &wanted
	}
	return call
}

func (d *apiHandler) PutKey(ctx context.Context, req *api.Call) (*api.Receipt, error) {
	return d.coordinate(ctx, coordinationRequest("put", req))
}

func (d *apiHandler) DropKey(ctx context.Context, req *api.Call) (*api.Receipt, error) {
	return d.coordinate(ctx, coordinationRequest("drop", req))
}

func (d *apiHandler) GetKey(ctx context.Context, params api.GetKeyParams) (*api.Receipt, error) {
	return d.coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpGet, Name: params.Name})
}

func (d *apiHandler) ListKeys(ctx context.Context, params api.ListKeysParams) (*api.Receipt, error) {
	return d.coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpList, Name: params.Prefix})
}

func (d *apiHandler) AddCounter(ctx context.Context, req *api.Call) (*api.Receipt, error) {
	return d.coordinate(ctx, coordinationRequest("add", req))
}

func (d *apiHandler) GetCounter(ctx context.Context, params api.GetCounterParams) (*api.Receipt, error) {
	return d.coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpGet, Name: params.Name, Holder: coordination.KindCounter})
}

func (d *apiHandler) GetLock(ctx context.Context, params api.GetLockParams) (*api.Receipt, error) {
	return d.coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpGet, Name: params.Name, Holder: coordination.KindLock})
}

func (d *apiHandler) GetLeader(ctx context.Context, params api.GetLeaderParams) (*api.Receipt, error) {
	return d.coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpGet, Name: params.Name, Holder: coordination.KindLock})
}

func (d *apiHandler) Lock(ctx context.Context, req *api.Call, params api.LockParams) (*api.Receipt, error) {
	return d.coordinate(ctx, coordinationRequest(string(params.Verb), req))
}

func (d *apiHandler) Elect(ctx context.Context, req *api.Call, params api.ElectParams) (*api.Receipt, error) {
	verbs := map[api.ElectVerb]string{api.ElectVerbCampaign: coordination.OpAcquire, api.ElectVerbRenew: coordination.OpRenew, api.ElectVerbResign: coordination.OpRelease}
	return d.coordinate(ctx, coordinationRequest(verbs[params.Verb], req))
}

func (d *apiHandler) Watch(ctx context.Context, params api.WatchParams) (*api.Receipt, error) {
	return d.coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpWatch, Name: params.Name, FromIndex: ids.Index(params.From), Wait: params.Hold.Or(20000)})
}

func (d *apiHandler) Health(ctx context.Context) (*api.Health, error) {
	return &api.Health{Node: string(d.n.Env.Name), State: "alive"}, nil
}

func (d *apiHandler) Ready(ctx context.Context) (*api.Health, error) {
	health := &api.Health{Node: string(d.n.Env.Name), State: "ready"}
	if err := d.n.Ready(); err != nil {
		return nil, err
	}
	if d.n.Distribution != nil {
		health.Epoch = api.NewOptUint64(uint64(d.n.Distribution.Cache.Snapshot().Epoch))
	}
	return health, nil
}

// NewError makes the numbered answer of a problem.
func (d *apiHandler) NewError(ctx context.Context, err error) *api.ProblemStatusCodeWithHeaders {
	return problemOf(err)
}

func problemOf(err error) *api.ProblemStatusCodeWithHeaders {
	p := errcode.From(err)
	out := &api.ProblemStatusCodeWithHeaders{StatusCode: p.Code.Status, Response: api.Problem{Code: p.Code.Number, Name: p.Code.Name, Text: p.Code.Text, Paths: p.Paths}}
	if p.Note != "" {
		out.Response.Note = api.NewOptString(p.Note)
	}
	if p.Code.Outcome != "" {
		out.Response.Outcome = api.NewOptString(p.Code.Outcome)
	}
	if t, ok := err.(*coordinationError); ok {
		out.Response.Stamp = api.NewOptUint64(uint64(t.response.Index))
		out.Response.Fence = api.NewOptUint64(uint64(t.response.FencingToken))
		if t.response.Holder != "" {
			out.Response.Holder = api.NewOptString(t.response.Holder)
		}
	}
	if p.Code.Status >= 500 || p.Code.Number == errcode.LockHeld.Number {
		out.RetryAfter = api.NewOptInt(1 + rand.IntN(3))
	}
	return out
}

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

// writeInvalidCall names what the generated code could not read.
func writeInvalidCall(ctx context.Context, w http.ResponseWriter, r *http.Request, err error) {
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

func writeNotFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, &errcode.Error{Code: errcode.Code{Number: errcode.InvalidCall.Number, Name: errcode.InvalidCall.Name, Status: 404, Text: errcode.InvalidCall.Text}, Note: "no such call: " + r.Method + " " + r.URL.Path})
}
