package scaletest

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Usage is the resource usage of a process as reported by Linux in /proc.
type Usage struct {
	At       time.Time
	CPU      time.Duration // processor time of all running threads (schedstat)
	Read     int64         // bytes by read(2), sockets among them (io, rchar)
	Written  int64         // bytes by write(2) (io, wchar)
	Resident int64         // bytes (VmRSS)
	Peak     int64         // bytes (VmHWM)
}

// ReadUsage returns the current usage of the process pid.
func ReadUsage(pid int) (u Usage, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	tasks, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	if err != nil || len(tasks) == 0 {
		return u, errors.Errorf("no process %d", pid)
	}
	u.At = time.Now()
	for _, task := range tasks {
		b, err := os.ReadFile(task)
		if err != nil {
			continue // the thread has just ended
		}
		first, _, _ := strings.Cut(string(b), " ")
		ns, _ := strconv.ParseInt(first, 10, 64)
		u.CPU += time.Duration(ns)
	}
	for file, fields := range map[string]map[string]*int64{
		"io":     {"rchar:": &u.Read, "wchar:": &u.Written},
		"status": {"VmRSS:": &u.Resident, "VmHWM:": &u.Peak},
	} {
		b, err := os.ReadFile(filepath.Join(dir, file))
		if err != nil {
			return u, errors.Wrap(err, "usage")
		}
		for line := range strings.Lines(string(b)) {
			words := strings.Fields(line)
			if len(words) < 2 || fields[words[0]] == nil {
				continue
			}
			n, _ := strconv.ParseInt(words[1], 10, 64)
			if len(words) > 2 && words[2] == "kB" {
				n <<= 10
			}
			*fields[words[0]] = n
		}
	}
	return u, nil
}
