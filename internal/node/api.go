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

// defaultWatchWaitMillis is the long-poll timeout of a watch request that names none.
const defaultWatchWaitMillis = 20000

// apiHandler implements the generated API: it maps API requests to methods of the node, and
// errors to responses with a code.
type apiHandler struct{ n *Node }

var _ api.Handler = (*apiHandler)(nil)

func (h *apiHandler) Beat(ctx context.Context, req *api.Beat) (*api.Taken, error) {
	beat := &rpc.TargetHeartbeat{Service: req.Service, Instance: req.Instance, Sequence: req.Seq, Address: req.Address, Zone: req.Zone.Or(""), Weight: req.Weight.Or(100), State: string(req.State)}
	if _, err := h.n.Heartbeat(ctx, beat); err != nil {
		return nil, err
	}
	response := &api.Taken{Again: int(h.n.Env.Config.ControlplaneHeartbeatPeriod.Milliseconds())}
	if h.n.fencesTargets() {
		epoch, age := h.n.confirmedEpoch(ctx)
		response.Epoch, response.Age = api.NewOptUint64(uint64(epoch)), api.NewOptInt64(age.Milliseconds()+1)
	}
	return response, nil
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
	response := &api.ChangeReceipt{}
	return response, convert(receipt, response)
}

func (h *apiHandler) AskChange(ctx context.Context, params api.AskChangeParams) (*api.ChangeReceipt, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return changeStatusOperation.call(callCtx, h.n, ids.ConfigShard, &params.ID)
}

func (h *apiHandler) Epoch(ctx context.Context) (*api.EpochView, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return epochOperation.call(callCtx, h.n, ids.ConfigShard, nil)
}

// coordinate executes a coordination call, and returns a code in the response as an error.
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
	receipt := &api.Receipt{}
	return receipt, convert(response, receipt)
}

// coordinationRequest converts an API request to a coordination request.
func coordinationRequest(op string, req *api.Call) *rpc.CoordinationRequest {
	call := &rpc.CoordinationRequest{Operation: op, ID: req.ID.Or(""), Name: req.Name, Value: json.RawMessage(req.Value), Delta: req.Delta.Or(1), Holder: req.Holder.Or(""), TTL: req.TTL.Or(0), FencingToken: ids.Index(req.Fence.Or(0))}
	if stamp, ok := req.If.Get(); ok {
		ifIndex := ids.Index(stamp)
		call.IfIndex = &ifIndex
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
	return h.coordinate(ctx, &rpc.CoordinationRequest{Operation: coordination.OpWatch, Name: params.Name, FromIndex: ids.Index(params.From), Wait: params.Hold.Or(defaultWatchWaitMillis)})
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

// NewError converts an error to a response with its code.
func (h *apiHandler) NewError(_ context.Context, err error) *api.ProblemStatusCodeWithHeaders {
	return problemOf(err)
}

// convert copies a value to another type that has the same JSON encoding.
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
