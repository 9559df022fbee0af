// Package testkit is what tests of several packages share: a whole configuration, requests
// as a client sends them, servers that a test scripts byte by byte. All of it is on
// loopback and ends with its test; it has no state but the number of the last request.
package testkit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// lastID makes every request's id a new one.
var lastID atomic.Int64

// Config is a whole configuration; backends are listed as s-0, s-1, ...
func Config(discovery string, backends ...string) map[string]any {
	hosts := []any{}
	for i, dial := range backends {
		hosts = append(hosts, Host(i, dial, "ready"))
	}
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "aimMs": 20000, "giveUpMs": 30000, "credit": 1,
			"effect": effect, "group": "all", "keyTtlMs": 20000}
	}
	return map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"seq": 1, "whole": true, "hosts": hosts},
		"settings": map[string]any{
			"classes":        []any{class("look", "free"), class("send", "guarded"), class("order", "single_shot")},
			"failureDomains": []any{"a", "b"}, "shapes": []any{"k"}, "membershipMode": "pushed",
			"limits": map[string]any{"cancelling": true, "maxAttempts": 3, "connectTimeoutMs": 20000,
				"keepaliveMs": 30000, "maxRetryAfterMs": 600},
			"contract": map[string]any{"askWithinMs": 10000, "coldFrom": 0.3, "coldMs": 8000,
				"drainGraceMs": 250, "fallMultiple": 2.5, "tipAfterMs": 1000},
			"replicasOfMe": 1, "roundMs": 5, "weights": "nominal",
		},
	}
}

// Host is one line of a list of servers.
func Host(i int, dial, health string) map[string]any {
	return map[string]any{"host": fmt.Sprint("s-", i), "dial": dial, "site": "a", "class": "k",
		"block": 1, "health": health, "share": 1.0, "born_ms": 0}
}

// Call is a request of the class, well-formed until it is changed.
func Call(base, class string) *http.Request {
	method := http.MethodPost
	if class == "look" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, base+"/"+class+"/u1", strings.NewReader("body"))
	if err != nil {
		panic(err)
	}
	if class == "look" {
		req.Body, req.ContentLength = nil, 0
	}
	req.Header.Set("Request-Id", fmt.Sprint("id", lastID.Add(1)))
	req.Header.Set("Request-Timeout", "30000m")
	if class == "send" {
		req.Header.Set("Idempotency-Key", "k1")
	}
	return req
}

// answerWithin bounds every test's wait for an answer: no request here has more time than a minute.
const answerWithin = time.Minute

// Client asks as a test does: it follows no redirect, and gives up an answer that doesn't come whole in time, so that
// a test fails in place of waiting for as long as the test command does.
var Client = &http.Client{
	Timeout:       answerWithin,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Dial opens a connection by hand, on which nothing blocks for longer than an answer may take unless the test sets
// another deadline.
func Dial(network, address string) (net.Conn, error) {
	c, err := net.DialTimeout(network, address, answerWithin)
	if err != nil {
		return nil, err
	}
	if err := c.SetDeadline(time.Now().Add(answerWithin)); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Do sends a request, and gives status, body and head of its answer.
func Do(t *testing.T, req *http.Request) (int, string, http.Header) {
	t.Helper()
	resp, err := Client.Do(req)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("no whole answer: %v", err)
	}
	return resp.StatusCode, string(body), resp.Header
}

// Raw hands each connection to serve; it ends with the test.
func Raw(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// ReadRequest reads one whole request.
func ReadRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	return req, err
}
