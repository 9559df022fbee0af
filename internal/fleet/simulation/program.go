package simulation

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Program is a process that was started with a settings file.
type Program struct {
	cmd  *exec.Cmd
	out  *output
	done chan struct{}
}

// output collects what a process writes.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write adds p.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// Exec starts binary with args, with MOLEPADDLE_CONFIG and only the caller's PATH, HOME and LANG. It is killed with the
// test; if the test failed, its output goes to the test's log.
func Exec(tb TB, boot BootFile, binary string, args ...string) *Program {
	tb.Helper()
	p := &Program{cmd: exec.Command(binary, args...), out: &output{}, done: make(chan struct{})}
	p.cmd.Env = []string{"MOLEPADDLE_CONFIG=" + boot.Path}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		if v, ok := os.LookupEnv(name); ok {
			p.cmd.Env = append(p.cmd.Env, name+"="+v)
		}
	}
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	if err := p.cmd.Start(); err != nil {
		tb.Fatalf("simulation: exec: %v", err)
	}
	go func() {
		p.cmd.Wait()
		close(p.done)
	}()
	tb.Cleanup(func() {
		p.Kill()
		if tb.Failed() {
			tb.Logf("%s %v:\n%s", binary, args, p.Output())
		}
	})
	return p
}

// Output returns what the process has written so far.
func (p *Program) Output() string { return p.out.String() }

// Signal sends a signal, as the platform does with SIGTERM and SIGHUP; it does nothing after the end.
func (p *Program) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits for the end.
func (p *Program) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Wait waits for the end and returns the exit code (-1 after a signal), or -1 and ctx's error.
func (p *Program) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return -1, ctx.Err()
	}
}

// AwaitReady returns when GET /molepaddle/readyz at address (IP:PORT) answers 200, or ctx's error with the last failure.
func AwaitReady(ctx context.Context, address string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return poll(ctx, func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathReady, nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
}

// AwaitListening returns when something listens at address (IP:PORT), for roles without readyz, or ctx's error with the
// last failure.
func AwaitListening(ctx context.Context, address string) error {
	return poll(ctx, func() error {
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
		if err != nil {
			return err
		}
		return c.Close()
	})
}

// poll calls f until it succeeds or ctx ends, with pauses of 5 ms that double up to 100 ms.
func poll(ctx context.Context, f func() error) error {
	pause := 5 * time.Millisecond
	for {
		err := f()
		if err == nil {
			return nil
		}
		if werr := sleep(ctx, pause); werr != nil {
			return errors.Wrapf(werr, "not ready: %v", err)
		}
		pause = min(2*pause, 100*time.Millisecond)
	}
}
