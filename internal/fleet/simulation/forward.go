package simulation

import (
	"io"
	"net"
	"time"
)

// PassOn carries connections from one address to another until the end, as if what listens at to listened at from: for
// machines that share 127.0.0.1 and so need ports of their own.
func PassOn(tb TB, from, to string) {
	tb.Helper()
	ln, err := net.Listen("tcp", from)
	if err != nil {
		tb.Fatalf("simulation: pass on: %v", err)
	}
	tb.Cleanup(func() { ln.Close() })
	go func() {
		for {
			a, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer a.Close()
				b, err := net.DialTimeout("tcp", to, time.Second)
				if err != nil {
					return
				}
				defer b.Close()
				go func() {
					defer a.Close()
					defer b.Close()
					io.Copy(b, a)
				}()
				io.Copy(a, b)
			}()
		}
	}()
}
