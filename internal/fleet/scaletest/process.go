package scaletest

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// process is a running program of a trial.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}

	mu   sync.Mutex
	role string // role of a control server by its last log line with one (replication.Role)
}

// start starts a program. Its environment is PATH and env. lines is called with each line of its standard output and
// standard error. The returned writer is its standard input.
func start(
	name, binary string, args, env []string, lines func(p *process, line []byte),
) (*process, io.WriteCloser, error) {
	p := &process{name: name, cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	in, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = w, w
	if err := p.cmd.Start(); err != nil {
		return nil, nil, errors.Wrap(err, name)
	}
	w.Close()
	go func() {
		s := bufio.NewReaderSize(r, 1<<20)
		for {
			line, err := s.ReadBytes('\n')
			if len(line) > 0 {
				lines(p, line)
			}
			if err != nil {
				break
			}
		}
		r.Close()
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, in, nil
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// watchRole updates a control server's role from the line that it logs at each view change.
func watchRole(p *process, line []byte) {
	var l struct {
		Msg  string `json:"msg"`
		Role string `json:"role"`
	}
	if json.Unmarshal(line, &l) == nil && l.Msg == "view changed" {
		p.mu.Lock()
		p.role = l.Role
		p.mu.Unlock()
	}
}

// machine holds the settings of one machine of a trial.
type machine struct {
	name, zone, ip   string
	ports            [2]int
	seeds            []string
	bootstrap        bool
	dataDir          string
	edge, ready      string
	control          string
	provider         string
	rate             float64
	heartbeat, apply time.Duration
}

// write writes the settings file into a folder and returns its path.
func (m *machine) write(dir string) (string, error) {
	bind := map[string]string{}
	for key, addr := range map[string]string{"edge": m.edge, "readyz": m.ready, "ctl": m.control} {
		if addr != "" {
			bind[key] = addr
		}
	}
	doc := map[string]any{
		"nodename":     m.name,
		"ip":           m.ip,
		"az":           m.zone,
		"rgn":          "region-0",
		"port_range":   m.ports,
		"peers":        m.seeds,
		"bootstrap":    m.bootstrap,
		"heartbeat_ms": m.heartbeat.Milliseconds(),
		"bind":         bind,
		"survive":      map[string]int{"nodes": 1},
		"bnds":         map[string]int64{"apply_ms": m.apply.Milliseconds()},
		"caps":         map[string]any{"nofile": 20_000},
		"provider":     map[string]any{"address": m.provider, "rate_s": m.rate, "delay_ms": 800},
	}
	if m.dataDir != "" {
		doc["datadir"] = m.dataDir
	}
	b, err := toml.Marshal(doc)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, m.name+".toml")
	return path, os.WriteFile(path, b, 0o600)
}
