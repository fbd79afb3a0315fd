package coordination

import (
	"context"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Operations that a client may request. The strings are sent between nodes and stored in the
// log.
const (
	// Reads. The leader serves them once its leadership is confirmed, and writes nothing.
	OpGet    = "get"
	OpList   = "list"
	OpWatch  = "watch"  // long poll for events under a prefix
	OpFollow = "follow" // long poll for the sets in a space

	// Keys and counters.
	OpPut    = "put"
	OpDelete = "drop"
	OpSet    = "set" // a put that takes the next revision of its space
	OpAdd    = "add"

	// Locks and elections.
	OpAcquire = "acquire"
	OpRenew   = "renew"
	OpRelease = "release"

	// Idempotency records.
	OpReserve           = "claim"
	OpCancelReservation = "unclaim"
	OpComplete          = "settle"

	// States announced by service instances.
	OpSetInstanceState   = "mark"
	OpClearInstanceState = "unmark"
)

// Operations that only the leader proposes.
const (
	opExpire       = "expire" // when a lease has expired
	opExtendTTL    = "stretch"
	opReserveBatch = "claims"
	opSweep        = "sweep"
)

// Limits on requests.
const (
	maxNameBytes  = 512
	maxValueBytes = 64 << 10
	minTTL        = 10 * time.Millisecond
	maxTTL        = time.Hour
)

// operation has the functions that validate and serve a requested operation. Each may be nil.
type operation struct {
	// validate describes each invalid field, in addition to the checks made for every request.
	validate func(*rpc.CoordinationRequest) []string
	// read serves the request in a term for which leadership has been confirmed. Only renew
	// may propose a write.
	read func(s *shard, ctx context.Context, term ids.Term, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error)
	// write serves a request that needs more than a proposal.
	write func(s *shard, ctx context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error)
}

// operations maps each operation that a client may request to its functions. Requests for an
// operation without read and write functions are proposed unchanged.
var operations = map[string]operation{
	OpGet:    {read: (*shard).get},
	OpList:   {read: (*shard).list},
	OpWatch:  {read: (*shard).watch},
	OpFollow: {read: (*shard).follow, validate: validateFollow},

	OpPut:    {},
	OpDelete: {},
	OpSet:    {validate: validateSet},
	OpAdd:    {},

	OpAcquire: {write: (*shard).acquire, validate: validateAcquire},
	OpRenew:   {read: (*shard).renew, validate: validateRenew},
	OpRelease: {write: (*shard).release, validate: validateHolder},

	OpReserve:           {write: (*shard).reserve},
	OpCancelReservation: {},
	OpComplete:          {},

	OpSetInstanceState:   {},
	OpClearInstanceState: {},
}

// validate returns an InvalidCall error that lists every invalid field, or nil.
func validate(request *rpc.CoordinationRequest) error {
	var faults []string
	if request.Name == "" || len(request.Name) > maxNameBytes {
		faults = append(faults, "name: is missing or longer than 512 bytes")
	}
	if len(request.Value) > maxValueBytes {
		faults = append(faults, "value: is larger than 64 KiB")
	}
	switch operation, ok := operations[request.Operation]; {
	case !ok:
		faults = append(faults, "op: "+request.Operation+" is not known")
	case operation.validate != nil:
		faults = append(faults, operation.validate(request)...)
	}
	if len(faults) > 0 {
		return errcode.NewPaths(errcode.InvalidCall, faults)
	}
	return nil
}

func validateSet(request *rpc.CoordinationRequest) (faults []string) {
	if space, key, _ := strings.Cut(request.Name, "/"); space == "" || key == "" {
		faults = append(faults, "name: is not of the form space/rest")
	}
	if len(request.Value) == 0 {
		faults = append(faults, "value: is missing")
	}
	return faults
}

func validateFollow(request *rpc.CoordinationRequest) (faults []string) {
	if space, key, hasSlash := strings.Cut(request.Name, "/"); space == "" || !hasSlash || key != "" {
		faults = append(faults, "name: is not of the form space/")
	}
	return faults
}

func validateAcquire(request *rpc.CoordinationRequest) (faults []string) {
	if request.Holder == "" {
		faults = append(faults, "holder: is missing")
	}
	return append(faults, validateTTL(request)...)
}

func validateHolder(request *rpc.CoordinationRequest) (faults []string) {
	if request.Holder == "" || request.FencingToken == 0 {
		faults = append(faults, "holder, fence: are missing")
	}
	return faults
}

func validateRenew(request *rpc.CoordinationRequest) []string {
	faults := validateHolder(request)
	if request.TTL != 0 {
		faults = append(faults, validateTTL(request)...)
	}
	return faults
}

func validateTTL(request *rpc.CoordinationRequest) (faults []string) {
	if request.TTL < minTTL.Milliseconds() || request.TTL > maxTTL.Milliseconds() {
		faults = append(faults, "ttl: is outside 10 ms to 1 h")
	}
	return faults
}

// transitions maps each operation in log entries to the function that applies it to the store.
// The caller holds the store's mu.
var transitions = map[string]func(*Store, ids.Index, *rpc.CoordinationRequest) *rpc.CoordinationResponse{
	OpPut:                (*Store).put,
	OpDelete:             (*Store).delete,
	OpSet:                (*Store).set,
	OpAdd:                (*Store).add,
	OpAcquire:            (*Store).acquire,
	opExtendTTL:          (*Store).extend,
	OpRelease:            (*Store).release,
	opExpire:             (*Store).expire,
	opReserveBatch:       (*Store).reserve,
	OpCancelReservation:  (*Store).cancelReservation,
	OpComplete:           (*Store).complete,
	opSweep:              (*Store).sweep,
	OpSetInstanceState:   (*Store).setInstanceState,
	OpClearInstanceState: (*Store).clearInstanceState,
}
