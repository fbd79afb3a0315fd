package storage

import (
	"time"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

// retryInterval is between two attempts at a disk that takes no writes.
const retryInterval = 250 * time.Millisecond

// Batch is a group of writes that reach the disk together or not at all. It is filled by
// one task, submitted once, and must not be changed after that.
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

// Delete removes a key, if it is there.
func (b *Batch) Delete(key string) { b.operations.Delete([]byte(key)) }

// Wait returns nil once the batch is synced. After an error, also that of a node that is
// stopping, the batch may be on the disk or not.
func (b *Batch) Wait() error {
	select {
	case <-b.done:
		return b.err
	case <-b.stopping:
		return errStopping()
	}
}

// Submit queues a batch for the disk; batches reach it in the order of submission. It does
// not wait.
func (s *Store) Submit(batch *Batch) {
	s.mu.Lock()
	s.pending = append(s.pending, batch)
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default: // the writer has been woken already
	}
}

// takePending empties the queue.
func (s *Store) takePending() []*Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	batches := s.pending
	s.pending = nil
	return batches
}

func finish(batches []*Batch, err error) {
	for _, batch := range batches {
		batch.err = err
		close(batch.done)
	}
}

// writeLoop is the one task that writes, until the environment ends or the data is found
// corrupt: all that waits goes to the disk as one batch.
func (s *Store) writeLoop() {
	defer s.close()
	for {
		select {
		case <-s.env.Done():
			finish(s.takePending(), errStopping())
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
		finish(batches, err)
		if err != nil {
			finish(s.takePending(), err)
			return
		}
	}
}

// coalesce joins batches into one, under the next number; the oldest number kept goes.
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

// persist writes a batch and syncs it. A disk that takes no writes is tried again until it
// does: whoever waits for the batch goes on waiting, as during a stall, and no later batch
// overtakes it. Only corruption, or the end of the node, is an error.
func (s *Store) persist(batch *leveldb.Batch) error {
	err := s.writeSync(batch)
	if err == nil {
		return nil
	}
	s.env.Events.Emit(eventlog.StoreFailed, "cause", err.Error())
	s.failing.Store(true)
	started := time.Now()
	for s.env.Sleep(retryInterval) {
		// goleveldb's journal takes nothing after a failed write, so it is opened anew.
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
			return errcode.New(errcode.StorageBroken, "%v", err)
		}
	}
	return errStopping()
}

func (s *Store) writeSync(batch *leveldb.Batch) error {
	return s.db.Write(batch, &opt.WriteOptions{Sync: true})
}
