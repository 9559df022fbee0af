package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"molepaddle/internal/rig/standin"
)

// runFakeServers runs a fake roster and fake order servers on loopback for a trial set-up, until the context
// ends. Each server is named by its address, takes 5 ms for a request, and has its requests printed to out.
// The lines 'drain ADDRESS' and 'ready ADDRESS' on in change the health of a server.
func runFakeServers(ctx context.Context, args []string, in io.Reader, out io.Writer) error {
	if len(args) < 2 {
		return usageError{errors.New("standin: want the address of the roster and at least one address of a server")}
	}
	roster, err := standin.NewRosterAt(args[0])
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	defer roster.Close()
	servers := map[string]*standin.Server{}
	for _, at := range args[1:] {
		s, err := standin.NewServerAt(at, at, 5*time.Millisecond)
		if err != nil {
			return fmt.Errorf("standin: %w", err)
		}
		defer s.Close()
		servers[at] = s
		roster.Set(s.Host("a", "k", "ready"))
	}
	fmt.Fprintf(out, "a roster at %s, order servers at %s\n", roster.Addr, strings.Join(args[1:], ", "))
	lines := make(chan string)
	go func() {
		for scan := bufio.NewScanner(in); scan.Scan(); {
			select {
			case lines <- scan.Text():
			case <-ctx.Done():
				return
			}
		}
	}()
	seen := map[string]int{}
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case line := <-lines:
			word, at, _ := strings.Cut(strings.TrimSpace(line), " ")
			health, known := map[string]string{"drain": "draining", "ready": "ready"}[word]
			s := servers[at]
			if !known || s == nil {
				fmt.Fprintf(out, "%q is not understood: drain ADDRESS or ready ADDRESS\n", line)
				continue
			}
			roster.Set(s.Host("a", "k", health))
			fmt.Fprintf(out, "%s is %s\n", at, health)
		case <-tick.C:
			for _, at := range args[1:] {
				all := servers[at].Came()
				for _, a := range all[seen[at]:] {
					fmt.Fprintf(out, "%s got %s\n", at, a.ID)
				}
				seen[at] = len(all)
			}
		}
	}
}
