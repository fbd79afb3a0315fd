package coordination

import (
	"context"
	"strings"
	"time"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/ids"
	"github.com/sumactrestle/sumactrestle/internal/rpc"
)

// Operations that a caller may request. The strings stand on the wire and in the log.
const (
	// Reads. They are answered by a confirmed leader and write nothing.
	OpGet    = "get"
	OpList   = "list"
	OpWatch  = "watch"  // long poll for events under a prefix
	OpFollow = "follow" // long poll for the counted writes of a space

	// Keys and counters.
	OpPut    = "put"
	OpDelete = "drop"
	OpSet    = "set" // a put that takes the next revision of its space
	OpAdd    = "add"

	// Locks and elections.
	OpAcquire = "acquire"
	OpRenew   = "renew"
	OpRelease = "release"
	OpExpire  = "expire" // proposed by the leader when a lease has run out

	// Idempotency records.
	OpReserve           = "claim"
	OpCancelReservation = "unclaim"
	OpComplete          = "settle"

	// Announced states of service instances.
	OpSetInstanceState   = "mark"
	OpClearInstanceState = "unmark"
)

// Operations that only the leader proposes.
const (
	opExtendTTL    = "stretch"
	opReserveBatch = "claims"
	opSweep        = "sweep"
)

// Limits of a request.
const (
	maxNameBytes  = 512
	maxValueBytes = 64 << 10
	minTTL        = 10 * time.Millisecond
	maxTTL        = time.Hour
)

// operation is how a requested operation is checked and served.
type operation struct {
	// validate names the fields that are wrong, beyond the checks of every request.
	validate func(*rpc.CoordinationRequest) []string
	// read answers under a confirmed term of leadership, and proposes nothing as a rule.
	read func(s *shard, ctx context.Context, term ids.Term, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error)
	// write does more than to propose the request.
	write func(s *shard, ctx context.Context, request *rpc.CoordinationRequest) (*rpc.CoordinationResponse, error)
}

// operations is every operation that a caller may request; one without functions is
// proposed as it stands.
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
	OpRelease: {validate: validateHolder},
	OpExpire:  {},

	OpReserve:           {write: (*shard).reserve},
	OpCancelReservation: {},
	OpComplete:          {},

	OpSetInstanceState:   {},
	OpClearInstanceState: {},
}

// validate returns an InvalidCall that names every field that is wrong, or nil.
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
	if space, rest, _ := strings.Cut(request.Name, "/"); space == "" || rest == "" {
		faults = append(faults, "name: is not of the form space/rest")
	}
	if len(request.Value) == 0 {
		faults = append(faults, "value: is missing")
	}
	return faults
}

func validateFollow(request *rpc.CoordinationRequest) (faults []string) {
	if space, rest, hasSlash := strings.Cut(request.Name, "/"); space == "" || !hasSlash || rest != "" {
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

// transitions applies each operation of a log entry to the store, which holds its lock.
var transitions = map[string]func(*Store, ids.Index, *rpc.CoordinationRequest) *rpc.CoordinationResponse{
	OpPut:                (*Store).put,
	OpDelete:             (*Store).delete,
	OpSet:                (*Store).set,
	OpAdd:                (*Store).add,
	OpAcquire:            (*Store).acquire,
	opExtendTTL:          (*Store).extend,
	OpRelease:            (*Store).release,
	OpExpire:             (*Store).release,
	opReserveBatch:       (*Store).reserve,
	OpCancelReservation:  (*Store).cancelReservation,
	OpComplete:           (*Store).complete,
	opSweep:              (*Store).sweep,
	OpSetInstanceState:   (*Store).setInstanceState,
	OpClearInstanceState: (*Store).clearInstanceState,
}
