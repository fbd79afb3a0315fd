package controlplane

import (
	"errors"
	"fmt"

	"github.com/sumactrestle/sumactrestle/internal/ids"
)

// ErrEpochOutOfOrder is the result of applying an epoch that does not directly follow the
// current one because another planner's epoch was committed first.
var ErrEpochOutOfOrder = errors.New("the epoch does not directly follow the current one")

// DamagedEntryError reports an entry of the configuration shard's log that cannot be
// decoded. The entry is skipped.
type DamagedEntryError struct {
	Index ids.Index
	Err   error
}

func (e *DamagedEntryError) Error() string {
	return fmt.Sprintf("entry %d of the configuration shard's log is damaged: %v", e.Index, e.Err)
}

func (e *DamagedEntryError) Unwrap() error { return e.Err }

// DamagedGroupError reports a group of an epoch whose data cannot be decoded. The planner
// doesn't plan from such an epoch: treating the group as empty would remove its targets.
type DamagedGroupError struct {
	Epoch  ids.Epoch
	Group  string
	Digest string
	Err    error
}

func (e *DamagedGroupError) Error() string {
	return fmt.Sprintf("group %q of epoch %d is damaged: %v", e.Group, e.Epoch, e.Err)
}

func (e *DamagedGroupError) Unwrap() error { return e.Err }
