package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playTimeout bounds a case; the clean-up takes less than a second more.
const playTimeout = 100 * time.Second

// play is one case. It returns the number of times that the rule was broken.
type play func(ctx context.Context, h *harness, rec *record, binary string, trouble bool) (broken int)

// plays are the cases by the names that the scripts give.
var plays = map[string]play{
	"drain":      playDrain,
	"earlycut":   playEarlyCut,
	"addedroute": playAddedRoute,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE BINARY FOLDER")
		os.Exit(exitNoPlay)
	}
	p := plays[os.Args[1]]
	if p == nil {
		fmt.Fprintln(os.Stderr, "standin: no such case")
		os.Exit(exitNoPlay)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoPlay)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	ctx, cancel := context.WithTimeout(context.Background(), playTimeout)
	h := &harness{}
	code := exitNoPlay
	done := make(chan struct{})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		h.end() // ends the processes
		os.Exit(exitNoPlay)
	}()
	go func() {
		defer close(done)
		defer h.end()
		broken := p(ctx, h, rec, os.Args[2], trouble)
		if ctx.Err() != nil {
			rec.now("the case did not end in time")
			return
		}
		if code = exitHeld; broken > 0 {
			code = exitBroken
		}
	}()
	<-done
	cancel()
	os.Exit(code)
}
