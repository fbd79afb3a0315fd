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
	callTime = 3 * time.Second
	beatTime = 2 * time.Second
)

type desk struct{ n *Node }

var _ api.Handler = (*desk)(nil)

func (d *desk) Beat(ctx context.Context, req *api.Beat) (*api.Taken, error) {
	beat := &rpc.TargetHeartbeat{Service: req.Service, Instance: req.Instance, Sequence: req.Seq, Address: req.Address, Zone: req.Zone.Or(""), Weight: req.Weight.Or(100), State: string(req.State)}
	if _, err := d.n.Take(ctx, beat); err != nil {
		return nil, err
	}
	return &api.Taken{Again: int(d.n.R.Config.PlanBeat.Milliseconds())}, nil
}

func (d *desk) Submit(ctx context.Context, req *api.Change) (*api.ChangeReceipt, error) {
	var change rpc.ChangeSet
	if err := recast(req, &change); err != nil {
		return nil, err
	}
	receipt, err := d.n.Submit(ctx, &change)
	if err != nil {
		return nil, err
	}
	out := &api.ChangeReceipt{}
	return out, recast(receipt, out)
}

func (d *desk) AskChange(ctx context.Context, params api.AskChangeParams) (*api.ChangeReceipt, error) {
	limited, end := context.WithTimeout(ctx, callTime)
	defer end()
	receipt := &api.ChangeReceipt{}
	return receipt, d.n.pass(limited, op{ids.ConfigShard, "change", params.ID}, 0, receipt)
}

func (d *desk) Epoch(ctx context.Context) (*api.EpochView, error) {
	limited, end := context.WithTimeout(ctx, callTime)
	defer end()
	view := &api.EpochView{}
	return view, d.n.pass(limited, op{ids.ConfigShard, "epoch", nil}, 0, view)
}

// bond passes a coordination call; a code in the receipt becomes a problem.
func (d *desk) bond(ctx context.Context, call *rpc.CoordinationRequest) (*api.Receipt, error) {
	receipt, err := d.n.Bond(ctx, call)
	if err != nil {
		return nil, err
	}
	if receipt.Code != 0 {
		code, ok := errcode.Codes[receipt.Code]
		if !ok {
			code = errcode.Internal
		}
		return nil, &told{errcode.Problem{Code: code, Note: receipt.Note}, *receipt}
	}
	out := &api.Receipt{}
	return out, recast(receipt, out)
}

// told is a problem that says more: the stamp, fence and holder in force.
type told struct {
	problem errcode.Problem
	receipt rpc.CoordinationResponse
}

func (t *told) Error() string { return t.problem.Error() }
func (t *told) Unwrap() error { return &t.problem }

func callOf(op string, req *api.Call) *rpc.CoordinationRequest {
	call := &rpc.CoordinationRequest{Operation: op, ID: req.ID.Or(""), Name: req.Name, Value: json.RawMessage(req.Value), Delta: req.Delta.Or(1), Holder: req.Holder.Or(""), TTL: req.TTL.Or(0), FencingToken: ids.Index(req.Fence.Or(0))}
	if stamp, ok := req.If.Get(); ok {
		wanted := ids.Index(stamp)
		call.IfIndex = &wanted
	}
	return call
}

func (d *desk) PutKey(ctx context.Context, req *api.Call) (*api.Receipt, error) {
	return d.bond(ctx, callOf("put", req))
}

func (d *desk) DropKey(ctx context.Context, req *api.Call) (*api.Receipt, error) {
	return d.bond(ctx, callOf("drop", req))
}

func (d *desk) GetKey(ctx context.Context, params api.GetKeyParams) (*api.Receipt, error) {
	return d.bond(ctx, &rpc.CoordinationRequest{Operation: "get", Name: params.Name})
}

func (d *desk) ListKeys(ctx context.Context, params api.ListKeysParams) (*api.Receipt, error) {
	return d.bond(ctx, &rpc.CoordinationRequest{Operation: "list", Name: params.Prefix})
}

func (d *desk) AddCounter(ctx context.Context, req *api.Call) (*api.Receipt, error) {
	return d.bond(ctx, callOf("add", req))
}

func (d *desk) GetCounter(ctx context.Context, params api.GetCounterParams) (*api.Receipt, error) {
	return d.bond(ctx, &rpc.CoordinationRequest{Operation: "get", Name: params.Name, Holder: coordination.KindCounter})
}

func (d *desk) GetLock(ctx context.Context, params api.GetLockParams) (*api.Receipt, error) {
	return d.bond(ctx, &rpc.CoordinationRequest{Operation: "get", Name: params.Name, Holder: coordination.KindLock})
}

func (d *desk) GetLeader(ctx context.Context, params api.GetLeaderParams) (*api.Receipt, error) {
	return d.bond(ctx, &rpc.CoordinationRequest{Operation: "get", Name: params.Name, Holder: coordination.KindLock})
}

func (d *desk) Lock(ctx context.Context, req *api.Call, params api.LockParams) (*api.Receipt, error) {
	return d.bond(ctx, callOf(string(params.Verb), req))
}

func (d *desk) Elect(ctx context.Context, req *api.Call, params api.ElectParams) (*api.Receipt, error) {
	verbs := map[api.ElectVerb]string{api.ElectVerbCampaign: "acquire", api.ElectVerbRenew: "renew", api.ElectVerbResign: "release"}
	return d.bond(ctx, callOf(verbs[params.Verb], req))
}

func (d *desk) Watch(ctx context.Context, params api.WatchParams) (*api.Receipt, error) {
	return d.bond(ctx, &rpc.CoordinationRequest{Operation: "watch", Name: params.Name, FromIndex: ids.Index(params.From), Wait: params.Hold.Or(20000)})
}

func (d *desk) Health(ctx context.Context) (*api.Health, error) {
	return &api.Health{Node: string(d.n.R.Name), State: "alive"}, nil
}

func (d *desk) Ready(ctx context.Context) (*api.Health, error) {
	health := &api.Health{Node: string(d.n.R.Name), State: "ready"}
	if err := d.n.Ready(); err != nil {
		return nil, err
	}
	if d.n.Flow != nil {
		health.Epoch = api.NewOptUint64(uint64(d.n.Flow.Cache.Snapshot().Epoch))
	}
	return health, nil
}

// NewError makes the numbered answer of a problem.
func (d *desk) NewError(ctx context.Context, err error) *api.ProblemStatusCodeWithHeaders {
	return problemOf(err)
}

func problemOf(err error) *api.ProblemStatusCodeWithHeaders {
	p := errcode.Of(err)
	out := &api.ProblemStatusCodeWithHeaders{StatusCode: p.Code.Status, Response: api.Problem{Code: p.Code.No, Name: p.Code.Name, Text: p.Code.Text, Paths: p.Paths}}
	if p.Note != "" {
		out.Response.Note = api.NewOptString(p.Note)
	}
	if p.Code.Outcome != "" {
		out.Response.Outcome = api.NewOptString(p.Code.Outcome)
	}
	if t, ok := err.(*told); ok {
		out.Response.Stamp = api.NewOptUint64(uint64(t.receipt.Index))
		out.Response.Fence = api.NewOptUint64(uint64(t.receipt.FencingToken))
		if t.receipt.Holder != "" {
			out.Response.Holder = api.NewOptString(t.receipt.Holder)
		}
	}
	if p.Code.Status >= 500 || p.Code.No == errcode.Held.No {
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

// badCall names what the generated code could not read.
func badCall(ctx context.Context, w http.ResponseWriter, r *http.Request, err error) {
	code := errcode.BadCall
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/beats"):
		code = errcode.BadBeat
	case strings.HasPrefix(r.URL.Path, "/v1/changes"):
		code = errcode.BadChange
	}
	if ogenerrors.ErrorCode(err) >= 500 {
		code = errcode.Internal
	}
	writeProblem(w, errcode.New(code, "%v", err))
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, &errcode.Problem{Code: errcode.Code{No: errcode.BadCall.No, Name: errcode.BadCall.Name, Status: 404, Text: errcode.BadCall.Text}, Note: "no such call: " + r.Method + " " + r.URL.Path})
}
