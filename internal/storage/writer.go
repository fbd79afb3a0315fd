package storage

import (
	"time"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// retryInterval is the pause between attempts to write to a failing disk.
const retryInterval = 250 * time.Millisecond

// Batch is a set of writes that are applied atomically. It must be filled by one goroutine,
// submitted once and not modified afterwards.
type Batch struct {
	operations leveldb.Batch
	stopping   <-chan struct{}

	done chan struct{} // closed after err is set
	err  error
}

// NewBatch returns an empty batch.
func (s *Store) NewBatch() *Batch { return &Batch{done: make(chan struct{}), stopping: s.env.Done()} }

// Put sets the value of a key.
func (b *Batch) Put(key string, value []byte) { b.operations.Put([]byte(key), value) }

// Delete removes a key; it has no effect if the key does not exist.
func (b *Batch) Delete(key string) { b.operations.Delete([]byte(key)) }

// Wait blocks until the batch is synced. After an error, which includes shutdown of the node,
// the batch may or may not be on the disk.
func (b *Batch) Wait() error {
	select {
	case <-b.done:
		return b.err
	case <-b.stopping:
		return errStopping()
	}
}

// Submit queues a batch for writing and does not block. Batches are written in the order of
// submission.
func (s *Store) Submit(batch *Batch) {
	s.mu.Lock()
	s.pending = append(s.pending, batch)
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// takePending removes and returns all queued batches.
func (s *Store) takePending() []*Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	batches := s.pending
	s.pending = nil
	return batches
}

func complete(batches []*Batch, err error) {
	for _, batch := range batches {
		batch.err = err
		close(batch.done)
	}
}

// writeLoop is the writer task. It writes all pending batches as one until the environment is
// done or the data is found corrupt.
func (s *Store) writeLoop() {
	defer s.close()
	for {
		select {
		case <-s.env.Done():
			complete(s.takePending(), errStopping())
			return
		case <-s.wakeup:
		}
		batches := s.takePending()
		if len(batches) == 0 {
			continue
		}
		started := time.Now()
		s.writeStarted.Store(&started)
		err := s.persist(s.coalesce(batches))
		s.writeStarted.Store(nil)
		s.env.Latencies.StoreSync.Observe(time.Since(started))
		s.syncCount.Add(1)
		complete(batches, err)
		if err != nil {
			complete(s.takePending(), err)
			return
		}
	}
}

// coalesce joins batches into one and adds the key of the next sequence number. It deletes the
// key of the number that falls out of the history.
func (s *Store) coalesce(batches []*Batch) *leveldb.Batch {
	merged := &leveldb.Batch{}
	for _, batch := range batches {
		batch.operations.Replay(merged)
	}
	s.lastSequence++
	merged.Put(sequenceKey(s.lastSequence), nil)
	if s.lastSequence > sequenceHistory {
		merged.Delete(sequenceKey(s.lastSequence - sequenceHistory))
	}
	return merged
}

// persist writes and syncs a batch. It retries a failed write until it succeeds: callers of
// Wait stay blocked, as during a stall, and no later batch overtakes this one. It returns an
// error only on corruption or shutdown.
func (s *Store) persist(batch *leveldb.Batch) error {
	err := s.writeSync(batch)
	if err == nil {
		return nil
	}
	s.env.Events.Emit(eventlog.StoreFailed, "cause", err.Error())
	s.failing.Store(true)
	started := time.Now()
	for s.env.Sleep(retryInterval) {
		// goleveldb's journal accepts nothing after a failed write, so the database is reopened.
		if err = s.reopen(); err == nil {
			err = s.writeSync(batch)
		}
		if err == nil {
			s.failing.Store(false)
			s.env.Events.Emit(eventlog.StoreRecovered, "after", time.Since(started).String())
			return nil
		}
		if isCorruption(err) {
			s.env.Events.Emit(eventlog.StoreFailed, "cause", err.Error())
			close(s.corrupted)
			<-s.env.Done()
			return errcode.New(errcode.StorageFailed, "%v", err)
		}
	}
	return errStopping()
}

func (s *Store) writeSync(batch *leveldb.Batch) error {
	return s.db.Write(batch, &opt.WriteOptions{Sync: true})
}
