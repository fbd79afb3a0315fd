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

// faultyDisk is a disk in memory whose writes fail with an error that is set, and whose
// folder can't be opened then either, if the error is of corruption.
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

// Close keeps the memory, as a disk does.
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

// environmentOn returns an environment whose data folder is on the disk.
func environmentOn(t *testing.T, disk *faultyDisk, log *bytes.Buffer) *environment.Environment {
	t.Helper()
	env := newEnvironment("data", log)
	env.Host.OpenStorage = func(string) (leveldbstorage.Storage, error) { return disk, nil }
	env.Host.Rename = func(string, string) error { return os.ErrInvalid }
	t.Cleanup(env.Shutdown)
	return env
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

func TestWriter_WaitsOutAFullDisk(t *testing.T) {
	disk := newFaultyDisk()
	var log bytes.Buffer
	env := environmentOn(t, disk, &log)
	s, err := Open(env)
	if err != nil {
		t.Fatal(err)
	}
	disk.setFault(syscall.ENOSPC)
	first, second := s.NewBatch(), s.NewBatch()
	first.Put("key", []byte("first"))
	s.Submit(first)
	await(t, "the failure to show", s.IsFailing)
	second.Put("key", []byte("second"))
	s.Submit(second)
	time.Sleep(2 * retryInterval)
	select {
	case <-first.done:
		t.Fatal("a batch is done on a full disk:", first.err)
	default:
	}
	if stall := s.StallTime(); stall < 2*retryInterval {
		t.Errorf("the write is said to have waited for %s", stall)
	}
	disk.setFault(nil)
	for _, batch := range []*Batch{first, second} {
		if err := batch.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	if value, err := s.Get("key"); err != nil || string(value) != "second" {
		t.Errorf("the value is %q, %v", value, err)
	}
	await(t, "the stall to end", func() bool { return s.StallTime() == 0 })
	if s.IsFailing() || s.SyncCount() != 2 {
		t.Errorf("failing is %v, %d syncs", s.IsFailing(), s.SyncCount())
	}
	env.Shutdown()
	if failed, back := strings.Count(log.String(), `"event":307`), strings.Count(log.String(), `"event":312`); failed != 1 || back != 1 {
		t.Errorf("%d events of the failure, %d of its end", failed, back)
	}
}

func TestWriter_EndsOnCorruption(t *testing.T) {
	disk := newFaultyDisk()
	env := environmentOn(t, disk, &bytes.Buffer{})
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
		t.Fatal("the corruption is not told")
	}
	env.Shutdown()
	if err := batch.Wait(); err == nil {
		t.Error("a batch was acknowledged on a corrupt disk")
	}
}

func TestOpen_WaitsForRoom(t *testing.T) {
	disk := newFaultyDisk()
	disk.setFault(syscall.EDQUOT)
	time.AfterFunc(2*retryInterval, func() { disk.setFault(nil) })
	began := time.Now()
	s, err := Open(environmentOn(t, disk, &bytes.Buffer{}))
	if err != nil || s.IsFailing() || s.ReplacesCorrupt() {
		t.Fatal("not opened when there is room:", err)
	}
	if time.Since(began) < 2*retryInterval {
		t.Error("opened without room")
	}
}
