package node

import (
	"context"
	"encoding/json"

	"github.com/sumactrestle/sumactrestle/internal/api"
	"github.com/sumactrestle/sumactrestle/internal/coordination"
	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// longPollWait is how long a watch waits that names no time, in milliseconds.
const longPollWait = 20000

// apiHandler is the generated API's handler: it turns requests of the API into the node's
// calls, and errors into numbered answers.
type apiHandler struct{ n *Node }

var _ api.Handler = (*apiHandler)(nil)

func (h *apiHandler) Beat(ctx context.Context, req *api.Beat) (*api.Taken, error) {
	beat := &rpc.TargetHeartbeat{Service: req.Service, Instance: req.Instance, Sequence: req.Seq, Address: req.Address, Zone: req.Zone.Or(""), Weight: req.Weight.Or(100), State: string(req.State)}
	if _, err := h.n.Heartbeat(ctx, beat); err != nil {
		return nil, err
	}
	taken := &api.Taken{Again: int(h.n.Env.Config.ControlplaneHeartbeatPeriod.Milliseconds())}
	if h.n.fencesTargets() {
		epoch, age := h.n.confirmedEpoch(ctx)
		taken.Epoch, taken.Age = api.NewOptUint64(uint64(epoch)), api.NewOptInt64(age.Milliseconds()+1)
	}
	return taken, nil
}

func (h *apiHandler) Submit(ctx context.Context, req *api.Change) (*api.ChangeReceipt, error) {
	var change rpc.ChangeSet
	if err := convert(req, &change); err != nil {
		return nil, err
	}
	receipt, err := h.n.Submit(ctx, &change)
	if err != nil {
		return nil, err
	}
	out := &api.ChangeReceipt{}
	return out, convert(receipt, out)
}

func (h *apiHandler) AskChange(ctx context.Context, params api.AskChangeParams) (*api.ChangeReceipt, error) {
	limited, end := context.WithTimeout(ctx, callTimeout)
	defer end()
	return changeStatusOperation.call(limited, h.n, ids.ConfigShard, &params.ID)
}

func (h *apiHandler) Epoch(ctx context.Context) (*api.EpochView, error) {
	limited, end := context.WithTimeout(ctx, callTimeout)
	defer end()
	return epochOperation.call(limited, h.n, ids.ConfigShard, nil)
}

// coordinate makes a coordination call; a code in the response becomes an error.
func (h *apiHandler) coordinate(ctx context.Context, request *rpc.CoordinationRequest) (*api.Receipt, error) {
	response, err := h.n.Coordinate(ctx, request)
	if err != nil {
		return nil, err
	}
	if response.Code != 0 {
		code, ok := errcode.Codes[response.Code]
		if !ok {
			code = errcode.Internal
		}
		return nil, &coordinationError{errcode.Error{Code: code, Note: response.Note}, *response}
	}
	out := &api.Receipt{}
	return out, convert(response, out)
}

// coordinationRequest is the coordination call of an API request.
func coordinationRequest(op string, req *api.Call) *rpc.CoordinationRequest {
	call := &rpc.CoordinationRequest{Operation: op, ID: req.ID.Or(""), Name: req.Name, Value: json.RawMessage(req.Value), Delta: req.Delta.Or(1), Holder: req.Holder.Or(""), TTL: req.TTL.Or(0), FencingToken: ids.Index(req.Fence.Or(0))}
	if stamp, ok := req.If.Get(); ok {
		wanted := ids.Index(stamp)
		call.IfIndex = &wanted
	}
	return call
}

func (h *apiHandler) PutKey(ctx context.Context, req *api.Call) (*api.Receipt, error) {
	return h.coordinate(ctx, coordinationRequest("put", req))
}

func (h *apiHandler) DropKey(ctx context.Context, req *api.Call) (*api.Receipt, error) {
	return h.coordinate(ctx, coordinationRequest("drop", req))
}

func (h *apiHandler) GetKey(ctx context.Context, params api.GetKeyParams) (*api.Receipt, error) {
	return h.coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpGet, Name: params.Name})
}

func (h *apiHandler) ListKeys(ctx context.Context, params api.ListKeysParams) (*api.Receipt, error) {
	return h.coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpList, Name: params.Prefix})
}

func (h *apiHandler) AddCounter(ctx context.Context, req *api.Call) (*api.Receipt, error) {
	return h.coordinate(ctx, coordinationRequest("add", req))
}

func (h *apiHandler) GetCounter(ctx context.Context, params api.GetCounterParams) (*api.Receipt, error) {
	return h.coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpGet, Name: params.Name, Holder: coordination.KindCounter})
}

func (h *apiHandler) GetLock(ctx context.Context, params api.GetLockParams) (*api.Receipt, error) {
	return h.coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpGet, Name: params.Name, Holder: coordination.KindLock})
}

func (h *apiHandler) GetLeader(ctx context.Context, params api.GetLeaderParams) (*api.Receipt, error) {
	return h.coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpGet, Name: params.Name, Holder: coordination.KindLock})
}

func (h *apiHandler) Lock(ctx context.Context, req *api.Call, params api.LockParams) (*api.Receipt, error) {
	return h.coordinate(ctx, coordinationRequest(string(params.Verb), req))
}

func (h *apiHandler) Elect(ctx context.Context, req *api.Call, params api.ElectParams) (*api.Receipt, error) {
	verbs := map[api.ElectVerb]string{api.ElectVerbCampaign: coordination.OpAcquire, api.ElectVerbRenew: coordination.OpRenew, api.ElectVerbResign: coordination.OpRelease}
	return h.coordinate(ctx, coordinationRequest(verbs[params.Verb], req))
}

func (h *apiHandler) Watch(ctx context.Context, params api.WatchParams) (*api.Receipt, error) {
	return h.coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpWatch, Name: params.Name, FromIndex: ids.Index(params.From), Wait: params.Hold.Or(longPollWait)})
}

func (h *apiHandler) Health(ctx context.Context) (*api.Health, error) {
	return &api.Health{Node: string(h.n.Env.Name), State: "alive"}, nil
}

func (h *apiHandler) Ready(ctx context.Context) (*api.Health, error) {
	health := &api.Health{Node: string(h.n.Env.Name), State: "ready"}
	if err := h.n.Ready(); err != nil {
		return nil, err
	}
	if h.n.Distribution != nil {
		health.Epoch = api.NewOptUint64(uint64(h.n.Distribution.Cache.Snapshot().Epoch))
	}
	return health, nil
}

// NewError returns the numbered answer of an error.
func (h *apiHandler) NewError(_ context.Context, err error) *api.ProblemStatusCodeWithHeaders {
	return problemOf(err)
}

// convert turns one shape of data into another that has the same JSON.
func convert(from, into any) error {
	raw, err := json.Marshal(from)
	if err == nil {
		err = json.Unmarshal(raw, into)
	}
	if err != nil {
		return errcode.New(errcode.Internal, "%v", err)
	}
	return nil
}
