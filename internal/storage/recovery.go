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
	// databaseFolder is relative to the data folder. Existing data folders have this name.
	databaseFolder = "lore"
	// replacesCorruptKey marks a database that was created in place of a corrupt one.
	replacesCorruptKey = "after-damage"
	// sequencePrefix is the prefix of the keys that hold the numbers of the last
	// sequenceHistory batches.
	sequencePrefix  = "~seq/"
	sequenceHistory = 512

	writeBufferBytes = 2 << 20
	blockCacheBytes  = 1 << 20
)

// sequenceGapError reports that synced batches are missing.
type sequenceGapError struct{ first, last, count uint64 }

func (e *sequenceGapError) Error() string {
	return fmt.Sprintf("batches missing: of %d to %d, only %d are present", e.first, e.last, e.count)
}

// isCorruption reports whether an error shows corrupt data, as opposed to a folder that can't
// be opened now, such as one locked by another process. Only corrupt folders are quarantined.
func isCorruption(err error) bool {
	var gap *sequenceGapError
	return leveldberrors.IsCorrupted(err) || errors.As(err, &gap)
}

// isDiskFull reports whether the disk, or the node's quota of it, is exhausted.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// openOrQuarantine makes one attempt to open the store. If the data is corrupt, it moves the
// data folder away and creates an empty database.
func (s *Store) openOrQuarantine() error {
	err := s.load()
	if err == nil {
		if s.failing.Swap(false) {
			s.env.Events.Emit(eventlog.StoreRecovered, "after", time.Since(s.openStarted).String())
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
	s.replacesCorruptStore = true
	return s.db.Put([]byte(replacesCorruptKey), []byte("1"), &opt.WriteOptions{Sync: true})
}

// quarantine renames the data folder, appending the current time to its name.
func (s *Store) quarantine(cause error) error {
	folder := s.env.Config.DataFolder
	quarantine := folder + ".damaged-" + time.Now().Format("20060102-150405")
	s.env.Events.Emit(eventlog.StoreDamaged, "folder", folder, "quarantine", quarantine, "cause", cause.Error())
	if err := s.env.Host.Rename(folder, quarantine); err != nil {
		return errcode.New(errcode.StorageFailed, "%s is corrupt (%v) and can't be renamed: %v", folder, cause, err)
	}
	return nil
}

// load opens the database and reads whether it replaces a corrupt one.
func (s *Store) load() error {
	if err := s.openDatabase(); err != nil {
		return err
	}
	var err error
	s.replacesCorruptStore, err = s.db.Has([]byte(replacesCorruptKey), nil)
	return err
}

// openDatabase opens the database, creating it if there is none, and checks that no batch is
// missing. After an error, the caller must call close.
func (s *Store) openDatabase() error {
	fileStorage, err := s.env.Host.OpenStorage(filepath.Join(s.env.Config.DataFolder, databaseFolder))
	if err != nil {
		return err
	}
	s.fileStorage = fileStorage
	s.db, err = leveldb.Open(fileStorage, &opt.Options{
		Strict:             opt.StrictManifest | opt.StrictBlockChecksum | opt.StrictReader | opt.StrictCompaction,
		WriteBuffer:        writeBufferBytes,
		BlockCacheCapacity: blockCacheBytes,
	})
	if err != nil {
		return err
	}
	s.lastSequence, err = readLastSequence(s.db)
	return err
}

// readLastSequence returns the number of the last batch, or zero if there is none. It returns a
// *sequenceGapError if a number is missing among those kept.
func readLastSequence(db *leveldb.DB) (uint64, error) {
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

// reopen closes the database and opens it again. Only the writer task may call it.
func (s *Store) reopen() error {
	s.dbMu.Lock()
	defer s.dbMu.Unlock()
	s.close()
	// A batch whose write failed may still have reached the disk. It is retried under the same
	// number, so the sequence read from the disk is not used.
	sequence := s.lastSequence
	err := s.openDatabase()
	s.lastSequence = sequence
	return err
}

// close closes the database and its files. Errors are ignored: all acknowledged batches are
// already synced.
func (s *Store) close() {
	if s.db != nil {
		s.db.Close()
		s.db = nil
	}
	if s.fileStorage != nil {
		s.fileStorage.Close()
		s.fileStorage = nil
	}
}
