package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"time"

	"molepaddle/internal/decide/members"
	"molepaddle/internal/protocol/peers"
	"molepaddle/internal/rig/wan"
)

// viewer is an agent's end of its links to peers; it is started again under its name.
type viewer struct {
	name, host string
	ln         net.Listener
	end        *peers.Peers
	done       chan error
}

// seen is an agent's view in a line.
func (v *viewer) seen() (line string, settled bool) {
	view, _ := v.end.View()
	var states []string
	for _, m := range view.Members {
		if m.State != members.Left {
			states = append(states, m.ID.Name+" "+m.State.String())
		}
	}
	line = strings.Join(states, ", ")
	if view.SelfSuspicion != "" {
		line += "; " + view.SelfSuspicion
	}
	return line, view.Converged
}

// views plays the third scene: five agents with a network between; one is cut off and comes back, one
// is killed, one joins.
func views(ctx context.Context, out io.Writer) error {
	const period = 100 * time.Millisecond
	var all []*viewer
	var targets []string
	for i := range 5 {
		v := &viewer{name: fmt.Sprint("agent-", i+1), host: fmt.Sprintf("127.88.0.%d", i+1)}
		ln, err := net.Listen("tcp", v.host+":0")
		if err != nil {
			return err
		}
		v.ln = ln
		all, targets = append(all, v), append(targets, ln.Addr().String())
	}
	mesh, err := wan.NewMesh(targets, 1)
	if err != nil {
		return err
	}
	defer mesh.Close()
	kill := func(v *viewer) {
		if v.end != nil {
			v.end.Close()
			<-v.done
			v.end = nil
		}
	}
	start := func(i int) error {
		v := all[i]
		if v.end != nil || v.ln == nil {
			ln, err := net.Listen("tcp", targets[i])
			if err != nil {
				return err
			}
			v.ln = ln
		}
		v.end = peers.New(peers.Options{Members: members.Options{ID: members.ID{Name: v.name, Incarnation: uint64(time.Now().UnixMicro())}, Period: period,
			Info: members.Info{Machine: v.host, Zone: fmt.Sprint("zone-", i%3), Role: "agent", Address: mesh.Addrs[i]}},
			Seeds: []peers.Seed{{Name: "agent-1", Address: mesh.Addrs[0]}}, Seed: uint64(i), Conns: 64, Queue: 64 << 10,
			Self: func() (string, float64) { return "ready", 0 }, Log: slog.New(slog.DiscardHandler)})
		ln := v.ln
		v.ln, v.done = nil, make(chan error, 1)
		go func() { v.done <- v.end.Serve(ln) }()
		return nil
	}
	defer func() {
		for _, v := range all {
			kill(v)
			if v.ln != nil {
				v.ln.Close()
			}
		}
	}()
	until := func(what string, holds func() bool, show ...int) error {
		began := time.Now()
		for !holds() {
			if time.Since(began) > 20*time.Second {
				return fmt.Errorf("demo: never: %s", what)
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(period / 10):
			}
		}
		fmt.Fprintf(out, "%s, after %.1f s:\n", what, time.Since(began).Seconds())
		for _, i := range show {
			line, _ := all[i].seen()
			fmt.Fprintf(out, "  %s sees %s\n", all[i].name, line)
		}
		return nil
	}
	agree := func(n int, these ...int) func() bool {
		return func() bool {
			for _, i := range these {
				view, _ := all[i].end.View()
				if !view.Converged || view.Reachable != n {
					return false
				}
			}
			return true
		}
	}
	fmt.Fprintf(out, "\nfive agents on addresses of their own, a network between, a period of %v\n", period)
	for i := range 4 {
		if err := start(i); err != nil {
			return err
		}
	}
	steps := []struct {
		what string
		do   func() error
		show []int
		when func() bool
	}{
		{"four have found each other", func() error { return nil }, []int{0}, agree(4, 0, 1, 2, 3)},
		{"one joins", func() error { return start(4) }, []int{4}, agree(5, 0, 1, 2, 3, 4)},
		{"agent-2 is cut off", func() error { mesh.Split(0, 1, 0, 0, 0); return nil }, []int{0, 1}, func() bool {
			view, _ := all[1].end.View()
			return agree(4, 0, 2, 3, 4)() && strings.Contains(view.SelfSuspicion, "I see 1 of 5")
		}},
		{"it is back", func() error { mesh.Split(0, 0, 0, 0, 0); return nil }, []int{1}, agree(5, 0, 1, 2, 3, 4)},
		{"agent-3 is killed", func() error { kill(all[2]); return nil }, []int{1}, agree(4, 0, 1, 3, 4)},
	}
	for _, s := range steps {
		if err := s.do(); err != nil {
			return err
		}
		if err := until(s.what, s.when, s.show...); err != nil {
			return err
		}
	}
	return nil
}
