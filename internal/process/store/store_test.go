package store

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"molepaddle/internal/decide/council"
)

// TestMain runs the test binary as a child process that writes until it is killed, and prints the number of each entry
// once it is on disk.
func TestMain(m *testing.M) {
	if dir := os.Getenv("STORE_CHILD"); dir != "" {
		if os.Getenv("STORE_FULL") != "" { // a limit of the file size takes the place of a full disk
			signal.Ignore(syscall.SIGXFSZ)
			if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 128 << 10, Max: 128 << 10}); err != nil {
				fmt.Println(err)
				os.Exit(1)
			}
		}
		s, err := Open(dir)
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		saved, err := s.Load()
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		for i := uint64(len(saved.Entries)) + 1; i < 1<<20; i++ {
			if err := s.Save(council.DurableUpdate{HardState: hard(i), Entries: []*pb.Entry{entry(i, 1)}}); err != nil {
				fmt.Println(err)
				os.Exit(1)
			}
			fmt.Println(i)
		}
	}
	os.Exit(m.Run())
}

func entry(i, term uint64) *pb.Entry {
	return &pb.Entry{Index: proto.Uint64(i), Term: proto.Uint64(term), Data: []byte(fmt.Sprint("entry ", i, " of ", term))}
}

func hard(commit uint64) *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(7), Commit: proto.Uint64(commit)}
}

func open(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir)
	if err != nil {
		t.Fatalf("%v\n%s", err, lockHolders(filepath.Join(dir, file)))
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// lockHolders returns a text on the processes that may hold the lock of a file: the lines of the system's lock table
// with the file's inode, and the processes that have the file open or mapped.
func lockHolders(path string) string {
	var info syscall.Stat_t
	if err := syscall.Stat(path, &info); err != nil {
		return err.Error()
	}
	var report strings.Builder
	table, err := os.ReadFile("/proc/locks")
	fmt.Fprintf(&report, "inode %d, %s has %d bytes (%v)\n", info.Ino, "/proc/locks", len(table), err)
	for line := range strings.Lines(string(table)) {
		if strings.Contains(line, fmt.Sprintf(":%d ", info.Ino)) {
			report.WriteString(line)
		}
	}
	opened, _ := filepath.Glob("/proc/[0-9]*/fd/*")
	for _, fd := range opened {
		if target, err := os.Readlink(fd); err == nil && strings.HasPrefix(target, path) {
			fmt.Fprintf(&report, "%s: %s\n%s", fd, target, processOf(fd))
		}
	}
	maps, _ := filepath.Glob("/proc/[0-9]*/maps")
	for _, name := range maps {
		if text, err := os.ReadFile(name); err == nil && strings.Contains(string(text), path) {
			fmt.Fprintf(&report, "%s maps it\n%s", name, processOf(name))
		}
	}
	return report.String()
}

// processOf returns the name, state and parent of the process that a file below /proc/PID belongs to.
func processOf(name string) string {
	pid := strings.Split(name, "/")[2]
	text, err := os.ReadFile(filepath.Join("/proc", pid, "status"))
	if err != nil {
		return err.Error() + "\n"
	}
	var report strings.Builder
	for line := range strings.Lines(string(text)) {
		for _, key := range []string{"Name:", "State:", "Pid:", "PPid:", "Threads:"} {
			if strings.HasPrefix(line, key) {
				report.WriteString("  " + line)
			}
		}
	}
	return report.String()
}

// lockHolders finds this process while it holds the lock.
func TestLockHolders(t *testing.T) {
	dir := t.TempDir()
	open(t, dir)
	report := lockHolders(filepath.Join(dir, file))
	for _, want := range []string{"FLOCK", fmt.Sprint("/proc/", os.Getpid(), "/fd/"), " maps it"} {
		if !strings.Contains(report, want) {
			t.Errorf("%q is not in\n%s", want, report)
		}
	}
}

func load(t *testing.T, s *Store) council.StoredState {
	t.Helper()
	saved, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	return saved
}

// Saved state is read after a reopen. Entries of a later term replace those from their index on; a member's own
// snapshot compacts the log, one from a peer replaces it.
func TestStore(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	id := s.ID()
	if err := s.Bootstrap(time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := s.Bootstrap(time.Now()); !errors.Is(err, os.ErrExist) {
		t.Errorf("second Bootstrap: error %v, want ErrExist", err)
	}
	save := func(v council.DurableUpdate) {
		t.Helper()
		if err := s.Save(v); err != nil {
			t.Fatal(err)
		}
	}
	var all []*pb.Entry
	for i := uint64(2); i < 40; i++ {
		all = append(all, entry(i, 1))
	}
	save(council.DurableUpdate{HardState: hard(30), Entries: all})
	save(council.DurableUpdate{Entries: []*pb.Entry{entry(35, 2)}})
	s.Close()
	s = open(t, dir)
	saved := load(t, s)
	if s.ID() != id || len(saved.Entries) != 34 || saved.Entries[33].GetTerm() != 2 || saved.HardState.GetCommit() != 30 || saved.HardState.GetVote() != 7 {
		t.Fatalf("id %x and %x; %d entries, %v", id, s.ID(), len(saved.Entries), saved.HardState)
	}
	snap := func(i uint64) *pb.Snapshot {
		return &pb.Snapshot{Data: []byte("state"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(i), Term: proto.Uint64(1)}}
	}
	save(council.DurableUpdate{Snapshot: snap(30), CompactTo: 20})
	if saved = load(t, s); len(saved.Entries) != 5 || saved.Entries[0].GetIndex() != 31 {
		t.Errorf("%d entries behind the snapshot", len(saved.Entries))
	}
	save(council.DurableUpdate{Snapshot: snap(100), FromPeer: true, Entries: []*pb.Entry{entry(101, 3)}})
	if saved = load(t, s); len(saved.Entries) != 1 || saved.Entries[0].GetIndex() != 101 || saved.Snapshot.GetMetadata().GetIndex() != 100 {
		t.Errorf("%+v", saved.Entries)
	}
	if _, err := Open(dir); err == nil {
		t.Error("file opened twice")
	}
	if other := open(t, t.TempDir()); other.ID() == id {
		t.Error("another folder has the same id")
	}
}

// Each kind of damaged value is detected, and so is a file of another format.
func TestDamaged(t *testing.T) {
	for _, damage := range []func(m, l *bbolt.Bucket) error{
		func(m, _ *bbolt.Bucket) error { return m.Put(keyHard, append(m.Get(keyHard)[:4:4], 'x')) },
		func(m, _ *bbolt.Bucket) error { return m.Put(keySnap, []byte("x")) },
		func(m, _ *bbolt.Bucket) error { return m.Put(keyHard, m.Get(keySnap)) },
		func(_, l *bbolt.Bucket) error { return l.Put(indexKey(3), l.Get(indexKey(2))) },
		func(_, l *bbolt.Bucket) error { return Put(l, indexKey(3), []byte{0xff}) },
	} {
		s := open(t, t.TempDir())
		if err := s.Bootstrap(time.Now()); err != nil {
			t.Fatal(err)
		}
		if err := s.Save(council.DurableUpdate{Entries: []*pb.Entry{entry(2, 1), entry(3, 1)}}); err != nil {
			t.Fatal(err)
		}
		if err := s.db.Update(func(tx *bbolt.Tx) error { return damage(tx.Bucket(meta), tx.Bucket(entries)) }); err != nil {
			t.Fatal(err)
		}
		if saved, err := s.Load(); !errors.Is(err, ErrDamaged) {
			t.Errorf("%v; %+v", err, saved)
		}
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, file), make([]byte, 1<<16), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir); err == nil {
		t.Error("file of zeros opened without an error")
	}
	if _, err := Open(filepath.Join(dir, "none")); err == nil {
		t.Error("missing folder opened without an error")
	}
}

// A process is killed while it writes, again and again: all entries that it has reported as written are stored.
func TestKilledWhileWriting(t *testing.T) {
	dir := t.TempDir()
	written := 0
	for round := range 25 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "STORE_CHILD="+dir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(out)
		for range 3 + 7*round%11 {
			if !lines.Scan() {
				t.Fatal("child process ended early")
			}
		}
		_ = cmd.Process.Kill() // in the middle of a later write
		last := lines.Text()
		for lines.Scan() {
			last = lines.Text()
		}
		_ = cmd.Wait()
		if _, err := fmt.Sscan(last, &written); err != nil {
			t.Fatalf("last line of the child: %q, want a number", last)
		}
		s := open(t, dir)
		saved := load(t, s)
		if n := len(saved.Entries); n < written || n > written+1 || saved.HardState.GetCommit() != uint64(n) {
			t.Fatalf("child reported %d entries, %d are stored, %v", written, n, saved.HardState)
		}
		for i, e := range saved.Entries {
			if want := entry(uint64(i+1), 1); !proto.Equal(e, want) {
				t.Fatalf("%v, want %v", e, want)
			}
		}
		s.Close()
	}
	t.Logf("%d entries over 25 kills", written)
}

// On a full disk, the failing write returns an error that names the file, none of it is stored, and all earlier writes
// are.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "STORE_CHILD="+dir, "STORE_FULL=1")
	out, err := cmd.Output()
	if err == nil {
		t.Fatal("the disk never filled up")
	}
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	last, written := lines[len(lines)-1], 0
	if !strings.HasPrefix(last, "store: "+filepath.Join(dir, file)+": ") || len(lines) < 10 {
		t.Fatalf("%d lines, the last: %s", len(lines), last)
	}
	if _, err := fmt.Sscan(lines[len(lines)-2], &written); err != nil {
		t.Fatal(err)
	}
	saved := load(t, open(t, dir))
	if len(saved.Entries) != written || saved.HardState.GetCommit() != uint64(written) {
		t.Errorf("child reported %d entries, %d are stored; %v", written, len(saved.Entries), saved.HardState)
	}
	t.Logf("%d entries, then: %s", written, strings.TrimPrefix(last, "store: "+dir))
}
