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

const (
	// readyTimeout bounds one call or connect of AwaitReady and AwaitListening.
	readyTimeout = time.Second
	// firstPollPause and longestPollPause bound the pauses between these: a program on loopback is ready within tens of
	// milliseconds, but polling shouldn't add much load to a busy machine.
	firstPollPause   = 5 * time.Millisecond
	longestPollPause = 100 * time.Millisecond
)

// Program is a process that was started with a settings file. It is safe for concurrent use.
type Program struct {
	cmd  *exec.Cmd
	out  *output
	done chan struct{} // closed when the process has ended
}

// output collects the output of a process.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends p to the output.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

// String returns the output so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// Exec starts binary with args, with MOLEPADDLE_CONFIG and only the caller's PATH, HOME and LANG as its environment. It
// is killed when the test ends; if the test failed, its output is written to the test's log.
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

// Output returns the output of the process so far.
func (p *Program) Output() string { return p.out.String() }

// Signal sends a signal, as the platform does with SIGTERM and SIGHUP; it does nothing after the process has ended.
func (p *Program) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and blocks until the process has ended.
func (p *Program) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Wait blocks until the process has ended and returns its exit code (-1 after a signal), or -1 with ctx's error.
func (p *Program) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return -1, ctx.Err()
	}
}

// AwaitReady blocks until GET /molepaddle/readyz at address (IP:PORT) answers 200, or returns ctx's error with the last
// failure.
func AwaitReady(ctx context.Context, address string) error {
	client := http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
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

// AwaitListening blocks until something listens at address (IP:PORT), for roles without readyz, or returns ctx's error
// with the last failure.
func AwaitListening(ctx context.Context, address string) error {
	return poll(ctx, func() error {
		c, err := (&net.Dialer{Timeout: readyTimeout}).DialContext(ctx, "tcp", address)
		if err != nil {
			return err
		}
		return c.Close()
	})
}

// poll calls f until it returns nil or ctx ends, with pauses that double.
func poll(ctx context.Context, f func() error) error {
	pause := firstPollPause
	for {
		err := f()
		if err == nil {
			return nil
		}
		if ctxErr := sleep(ctx, pause); ctxErr != nil {
			return errors.Wrapf(ctxErr, "not ready: %v", err)
		}
		pause = min(2*pause, longestPollPause)
	}
}
