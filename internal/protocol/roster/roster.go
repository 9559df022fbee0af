// Package roster is the client of the discovery service that lists the servers. It fetches the
// complete list or follows its changes over HTTP, and converts them to the core's types.
//
// A Client has no mutable state except for its calls. Each call is a goroutine that reports through
// the function given to New, and ends with Close.
package roster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/protocol/sockets"
)

const (
	// watchTimeout ends a watch on which no line is received. Discovery writes a line every 2 s, and a
	// change counts as announced after 6 s, which must leave time for a new request.
	watchTimeout = 3500 * time.Millisecond
	fetchTimeout = 3 * time.Second
	maxList      = 4 << 20 // limit of one list, in bytes
	endpoints    = "/v1/endpoints"
	// What a new discovery tells counts as told after 4 s: the first calls are tried
	// again for eagerFor, eagerEvery after one that failed or took over eagerTimeout.
	eagerDuration, eagerInterval, eagerTimeout = 4 * time.Second, 200 * time.Millisecond, 1300 * time.Millisecond
)

// wireList is a list of servers, or a change of it, as the service encodes it.
type wireList struct {
	Seq      int64      `json:"seq"`
	Complete bool       `json:"whole"`
	Hosts    []wireHost `json:"hosts"`
}

// wireHost is one server of a list.
type wireHost struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

var healths = map[string]cluster.Health{
	"ready": cluster.Ready, "draining": cluster.Draining, "gone": cluster.Gone,
}

// Names maps the names of sites and of kinds of machines to their numbers in the settings.
type Names struct{ Sites, Kinds map[string]int }

// Parse decodes one list and returns an error for the first invalid entry. A site or kind that the
// settings don't name gets the number -1, which no settings use.
func (w *Names) Parse(text []byte) (cluster.List, error) {
	var l wireList
	if err := json.Unmarshal(text, &l); err != nil {
		return cluster.List{}, err
	}
	at := func(m map[string]int, word string) int {
		if i, ok := m[word]; ok {
			return i
		}
		return -1
	}
	out := cluster.List{Seq: l.Seq, Complete: l.Complete, Servers: make([]cluster.Server, len(l.Hosts))}
	for i, h := range l.Hosts {
		health, known := healths[h.Health]
		switch {
		case h.Host == "":
			return cluster.List{}, fmt.Errorf("hosts[%d].host: missing", i)
		case !known:
			return cluster.List{}, fmt.Errorf("hosts[%d].health: unknown value %q", i, h.Health)
		}
		if health != cluster.Gone {
			if err := CheckAddress(h.Dial); err != nil {
				return cluster.List{}, fmt.Errorf("hosts[%d].dial: %w", i, err)
			}
		}
		out.Servers[i] = cluster.Server{Dial: h.Dial, Entry: cluster.Entry{Server: AddrOf(h.Host),
			Zone: at(w.Sites, h.Site), Cell: h.Block, Kind: at(w.Kinds, h.Class), SinceMs: h.BornMs,
			Health: health, Weight: h.Share}}
	}
	return out, nil
}

// CheckAddress returns an error unless addr has a host and a port.
func CheckAddress(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("address without a port: %q", addr)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("invalid port number: %q", addr)
	}
	return nil
}

// AddrOf returns the address that identifies a server in this module. It is derived from the name
// alone, so it is the same at every agent and stays when the address to dial changes.
func AddrOf(host string) cluster.Addr {
	h := fnv.New64a()
	io.WriteString(h, host)
	sum := h.Sum(nil)
	for i := range 2 {
		sum[i+2] ^= sum[i] // fold all 64 bits into 48
	}
	return cluster.Addr(sum[2:])
}

// Client is a client of one discovery service.
type Client struct {
	addr        string
	names       Names
	dial        DialFunc
	notify      func(core.Update)
	readTimeout time.Duration
	ctx         context.Context
	cancel      context.CancelFunc
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// New returns a client of the service at addr. Its calls end with the context.
func New(ctx context.Context, addr string, words Names, dial DialFunc, tell func(core.Update)) *Client {
	d := &Client{addr: addr, names: words, dial: dial, notify: tell, readTimeout: watchTimeout}
	d.ctx, d.cancel = context.WithCancel(ctx)
	return d
}

// Close ends all calls.
func (d *Client) Close() { d.cancel() }

// Fetch requests the complete list once, with eager retries if set, and reports Fetched.
func (d *Client) Fetch(eager bool) { go d.fetch(eager) }

// Watch follows the changes after version since until the connection ends, a time-out without a line
// passes, or a line is invalid. It then reports WatchEnded.
func (d *Client) Watch(since int64, eager bool) { go d.watch(since, eager) }

// retryEagerly calls try and, if eager, repeats it for eagerDuration until it succeeds.
func (d *Client) retryEagerly(eager bool, try func() error) error {
	end := time.Now().Add(eagerDuration)
	for {
		err := try()
		if err == nil || !eager || time.Now().After(end) {
			return err
		}
		select {
		case <-time.After(eagerInterval):
		case <-d.ctx.Done():
			return err
		}
	}
}

func (d *Client) fetch(eager bool) {
	var l cluster.List
	timeout := fetchTimeout
	if eager {
		timeout = eagerTimeout
	}
	err := d.retryEagerly(eager, func() error {
		ctx, cancel := context.WithTimeout(d.ctx, timeout)
		defer cancel()
		body, err := d.get(sockets.WithPurpose(ctx, "fetch"), endpoints)
		if err != nil {
			return err
		}
		defer body.Close()
		text, err := io.ReadAll(io.LimitReader(body, maxList))
		if err != nil {
			return err
		}
		l, err = d.names.Parse(text)
		return err
	})
	d.notify(core.Update{Kind: core.Fetched, List: l, Err: err})
}

func (d *Client) watch(since int64, eager bool) {
	var err error
	_ = d.retryEagerly(eager, func() error {
		var told bool
		if told, err = d.follow(since, eager); told {
			return nil
		}
		return err
	})
	d.notify(core.Update{Kind: core.WatchEnded, Err: err})
}

// follow runs one watch. It reports whether a list was received, and why the watch ended.
func (d *Client) follow(since int64, eager bool) (told bool, err error) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	first := d.readTimeout
	if eager {
		first = min(first, eagerTimeout)
	}
	dead := time.AfterFunc(first, cancel)
	defer dead.Stop()
	body, err := d.get(sockets.WithPurpose(ctx, "watch"), endpoints+"?follow=1&since="+strconv.FormatInt(since, 10))
	if err != nil {
		return false, err
	}
	defer body.Close()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 512), maxList)
	for lines.Scan() {
		dead.Reset(d.readTimeout)
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		l, err := d.names.Parse(text)
		if err != nil {
			return told, fmt.Errorf("line: %w", err)
		}
		told = true
		d.notify(core.Update{Kind: core.Changed, List: l})
	}
	if err := lines.Err(); err != nil {
		return told, err
	}
	return told, io.EOF
}

// maxHeader is the limit of a response's header, in bytes.
const maxHeader = 64 << 10

// responseBody is the body of a response with its connection.
type responseBody struct {
	io.Reader
	conn       net.Conn
	stopCancel func() bool
}

func (a *responseBody) Close() error {
	a.stopCancel()
	return a.conn.Close()
}

// get sends a request on a connection of its own: a reused one could break under the next call, and
// each call costs the service work. Reading the body fails once the context ends. A watch is idle for
// hours; without a transport's goroutines and buffers it costs only its reader.
func (d *Client) get(ctx context.Context, path string) (io.ReadCloser, error) {
	dialing, cancel := context.WithTimeout(ctx, fetchTimeout)
	conn, err := d.dial(dialing, "tcp", d.addr)
	cancel()
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	a := &responseBody{conn: conn, stopCancel: stop}
	request := "GET " + path + " HTTP/1.1\r\nHost: " + d.addr + "\r\nConnection: close\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		a.Close()
		return nil, err
	}
	head := &io.LimitedReader{R: conn, N: maxHeader}
	resp, err := http.ReadResponse(bufio.NewReaderSize(head, 2048), &http.Request{Method: http.MethodGet})
	switch {
	case err != nil:
		err = fmt.Errorf("response: %w", err)
	case resp.StatusCode != http.StatusOK:
		err = errors.New(resp.Status)
	}
	if err != nil {
		a.Close()
		return nil, err
	}
	head.N = math.MaxInt64 // readers of the body apply their own limits
	a.Reader = resp.Body
	return a, nil
}
