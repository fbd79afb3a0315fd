package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"syscall"
	"time"

	"github.com/syndtr/goleveldb/leveldb"
	leveldberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"

	"github.com/sumactrestle/sumactrestle/internal/errcode"
	"github.com/sumactrestle/sumactrestle/internal/eventlog"
)

const (
	// databaseFolder within the data folder; the name is on disks and stays.
	databaseFolder = "lore"
	// replacesCorruptKey is in a database that took the place of a corrupt one.
	replacesCorruptKey = "after-damage"
	// sequencePrefix comes before the numbers of the last sequenceHistory batches.
	sequencePrefix  = "~seq/"
	sequenceHistory = 512

	writeBufferBytes = 2 << 20
	blockCacheBytes  = 1 << 20
)

// sequenceGapError says that batches that were synced are missing.
type sequenceGapError struct{ first, last, count uint64 }

func (e *sequenceGapError) Error() string {
	return fmt.Sprintf("of the batches %d to %d only %d are there", e.first, e.last, e.count)
}

// isCorruption tells corrupt data from a folder that can't be had now, such as one that
// another process holds: only the former is ever set aside.
func isCorruption(err error) bool {
	var gap *sequenceGapError
	return leveldberrors.IsCorrupted(err) || errors.As(err, &gap)
}

// isDiskFull reports whether the disk, or the node's quota of it, takes no more bytes.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// openOrQuarantine is one attempt of Open.
func (s *Store) openOrQuarantine() error {
	err := s.load()
	if err == nil {
		if s.failing.Swap(false) {
			s.env.Events.Emit(eventlog.StoreRecovered, "after", time.Since(s.opening).String())
		}
		return nil
	}
	s.close()
	if !isCorruption(err) {
		return err
	}
	if err := s.quarantine(err); err != nil {
		return err
	}
	if err := s.openDatabase(); err != nil {
		return err
	}
	s.replacesCorrupt = true
	return s.db.Put([]byte(replacesCorruptKey), []byte("1"), &opt.WriteOptions{Sync: true})
}

// quarantine sets the data folder aside under a name that tells the time.
func (s *Store) quarantine(cause error) error {
	folder := s.env.Config.DataFolder
	quarantine := folder + ".damaged-" + time.Now().Format("20060102-150405")
	s.env.Events.Emit(eventlog.StoreDamaged, "folder", folder, "quarantine", quarantine, "cause", cause.Error())
	if err := s.env.Host.Rename(folder, quarantine); err != nil {
		return errcode.New(errcode.StorageBroken, "%s is corrupt (%v) and can't be set aside: %v", folder, cause, err)
	}
	return nil
}

// load opens the database and reads what the store keeps of it in memory.
func (s *Store) load() error {
	if err := s.openDatabase(); err != nil {
		return err
	}
	var err error
	s.replacesCorrupt, err = s.db.Has([]byte(replacesCorruptKey), nil)
	return err
}

// openDatabase opens the database, creating it if there is none, and checks that no batch
// is missing. After an error close must follow.
func (s *Store) openDatabase() error {
	files, err := s.env.Host.OpenStorage(filepath.Join(s.env.Config.DataFolder, databaseFolder))
	if err != nil {
		return err
	}
	s.files = files
	s.db, err = leveldb.Open(files, &opt.Options{
		Strict:             opt.StrictManifest | opt.StrictBlockChecksum | opt.StrictReader | opt.StrictCompaction,
		WriteBuffer:        writeBufferBytes,
		BlockCacheCapacity: blockCacheBytes,
	})
	if err != nil {
		return err
	}
	s.lastSequence, err = lastSequenceOf(s.db)
	return err
}

// lastSequenceOf returns the number of the last batch, zero if there is none. A missing
// number among those that are kept is a *sequenceGapError.
func lastSequenceOf(db *leveldb.DB) (uint64, error) {
	var first, last, count uint64
	iterator := db.NewIterator(util.BytesPrefix([]byte(sequencePrefix)), nil)
	defer iterator.Release()
	for iterator.Next() {
		last = binary.BigEndian.Uint64(iterator.Key()[len(sequencePrefix):])
		if count == 0 {
			first = last
		}
		count++
	}
	if err := iterator.Error(); err != nil {
		return 0, err
	}
	if count > 0 && last-first+1 != count {
		return 0, &sequenceGapError{first, last, count}
	}
	return last, nil
}

func sequenceKey(sequence uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte(sequencePrefix), sequence)
}

// reopen closes the database and opens it again in the same state. The task that writes
// alone may call it.
func (s *Store) reopen() error {
	s.access.Lock()
	defer s.access.Unlock()
	s.close()
	// A batch that failed may have reached the disk all the same; it keeps its number.
	sequence := s.lastSequence
	err := s.openDatabase()
	s.lastSequence = sequence
	return err
}

// close closes what is open. Errors say nothing new here: what was acknowledged is synced.
func (s *Store) close() {
	if s.db != nil {
		s.db.Close()
		s.db = nil
	}
	if s.files != nil {
		s.files.Close()
		s.files = nil
	}
}
