// Command standin-2 plays the scripts of the second review: it starts the project's own programs with the commands of
// the deploy file on loopback addresses, with stand-ins of the platform, the operator, the backends and the clients,
// and judges what those have seen. Each script's run.sh calls it; review/build-2.sh builds it.
//
//	standin-2 CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD, and exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun bounds a case; the processes that it started are ended then.
const longestRun = 100 * time.Second

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet) (broken bool){}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "backend" {
		serveUnframed(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs one case and returns the exit code.
func play(name, record string) (code int) {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	f := newFleet(out, os.Getenv("TROUBLE") != "0")
	defer f.cleanUp()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() {
		defer func() {
			if e := recover(); e != nil {
				f.note("the case could not run: %v", e)
				done <- 2
			}
		}()
		if cases[name](f) {
			done <- 1
			return
		}
		done <- 0
	}()
	select {
	case code = <-done:
	case <-stop:
		f.note("interrupted")
		code = 2
	case <-time.After(longestRun):
		f.note("the case took longer than %v", longestRun)
		code = 2
	}
	f.note("exit %d", code)
	return code
}
