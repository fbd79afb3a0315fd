package storage

import (
	"bytes"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	leveldberrors "github.com/syndtr/goleveldb/leveldb/errors"
	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"

	"github.com/sumactrestle/sumactrestle/internal/environment"
)

// faultyDisk is an in-memory disk on which creating and writing files fails with the error that
// setFault sets.
type faultyDisk struct {
	leveldbstorage.Storage
	fault atomic.Pointer[error]
}

func (d *faultyDisk) setFault(err error) {
	if err == nil {
		d.fault.Store(nil)
		return
	}
	d.fault.Store(&err)
}

func (d *faultyDisk) err() error {
	if err := d.fault.Load(); err != nil {
		return *err
	}
	return nil
}

// Close keeps the data, so that the disk can be opened again.
func (d *faultyDisk) Close() error { return nil }

func (d *faultyDisk) Create(file leveldbstorage.FileDesc) (leveldbstorage.Writer, error) {
	if err := d.err(); err != nil {
		return nil, err
	}
	writer, err := d.Storage.Create(file)
	return &faultyWriter{writer, d}, err
}

type faultyWriter struct {
	leveldbstorage.Writer
	disk *faultyDisk
}

func (w *faultyWriter) Write(raw []byte) (int, error) {
	if err := w.disk.err(); err != nil {
		return 0, err
	}
	return w.Writer.Write(raw)
}

func newFaultyDisk() *faultyDisk { return &faultyDisk{Storage: leveldbstorage.NewMemStorage()} }

// newEnvironmentOnDisk returns an environment whose data folder is on the given disk.
func newEnvironmentOnDisk(t *testing.T, disk *faultyDisk, log *bytes.Buffer) *environment.Environment {
	t.Helper()
	env := newEnvironment("data", log)
	env.Host.OpenStorage = func(string) (leveldbstorage.Storage, error) { return disk, nil }
	env.Host.Rename = func(string, string) error { return os.ErrInvalid }
	t.Cleanup(env.Shutdown)
	return env
}

// await waits until holds returns true, for at most 10 s.
func await(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for start := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatalf("timed out waiting for %s", condition)
		}
	}
}

func TestWriter_RetriesWhileDiskIsFull(t *testing.T) {
	disk := newFaultyDisk()
	var log bytes.Buffer
	env := newEnvironmentOnDisk(t, disk, &log)
	s, err := Open(env)
	if err != nil {
		t.Fatal(err)
	}
	disk.setFault(syscall.ENOSPC)
	first, second := s.NewBatch(), s.NewBatch()
	first.Put("key", []byte("first"))
	s.Submit(first)
	await(t, "the failure to be reported", s.IsFailing)
	second.Put("key", []byte("second"))
	s.Submit(second)
	time.Sleep(2 * retryInterval)
	select {
	case <-first.done:
		t.Fatal("a batch completed on a full disk:", first.err)
	default:
	}
	if stall := s.StallTime(); stall < 2*retryInterval {
		t.Errorf("StallTime is only %s", stall)
	}
	disk.setFault(nil)
	for _, batch := range []*Batch{first, second} {
		if err := batch.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	if value, err := s.Get("key"); err != nil || string(value) != "second" {
		t.Errorf("value is %q, error %v", value, err)
	}
	await(t, "the stall to end", func() bool { return s.StallTime() == 0 })
	if s.IsFailing() || s.SyncCount() != 2 {
		t.Errorf("IsFailing is %v after %d syncs", s.IsFailing(), s.SyncCount())
	}
	env.Shutdown()
	if failed, recovered := strings.Count(log.String(), `"event":307`), strings.Count(log.String(), `"event":312`); failed != 1 || recovered != 1 {
		t.Errorf("%d StoreFailed and %d StoreRecovered events, want one of each", failed, recovered)
	}
}

func TestWriter_StopsOnCorruption(t *testing.T) {
	disk := newFaultyDisk()
	env := newEnvironmentOnDisk(t, disk, &bytes.Buffer{})
	s, err := Open(env)
	if err != nil {
		t.Fatal(err)
	}
	disk.setFault(&leveldberrors.ErrCorrupted{Err: os.ErrInvalid})
	batch := s.NewBatch()
	batch.Put("key", nil)
	s.Submit(batch)
	select {
	case <-s.Corrupted():
	case <-time.After(10 * time.Second):
		t.Fatal("Corrupted was not closed")
	}
	env.Shutdown()
	if err := batch.Wait(); err == nil {
		t.Error("a batch was acknowledged on a corrupt disk")
	}
}

func TestOpen_WaitsWhileDiskIsFull(t *testing.T) {
	disk := newFaultyDisk()
	disk.setFault(syscall.EDQUOT)
	time.AfterFunc(2*retryInterval, func() { disk.setFault(nil) })
	start := time.Now()
	s, err := Open(newEnvironmentOnDisk(t, disk, &bytes.Buffer{}))
	if err != nil || s.IsFailing() || s.ReplacesCorruptStore() {
		t.Fatal("the store was not opened normally once the disk had space:", err)
	}
	if time.Since(start) < 2*retryInterval {
		t.Error("opened while the disk was full")
	}
}
