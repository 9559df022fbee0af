package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"

	"molepaddle/internal/cluster"
)

const (
	// watchSilence ends a watch on which no line came: discovery writes one every 2 s,
	// and what it has to tell counts as told after 6 s, asking again included.
	watchSilence = 3500 * time.Millisecond
	fetchTimeout = 3 * time.Second
	maxList      = 4 << 20 // bytes of one list
	// What a new discovery tells counts as told after 4 s: the first calls are tried
	// again for eagerFor, eagerEvery after one that failed or took over eagerTry.
	eagerFor, eagerEvery, eagerTry = 4 * time.Second, 200 * time.Millisecond, 1300 * time.Millisecond
)

// List is a list of backends, or a change of it, in discovery's form.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Host is one backend of a list.
type Host struct {
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

// parseList reads one list and reports the first entry that makes no sense.
func parseList(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return l, err
	}
	for i, h := range l.Hosts {
		health, known := healths[h.Health]
		switch {
		case h.Host == "":
			return l, fmt.Errorf("hosts[%d].host: missing", i)
		case !known:
			return l, fmt.Errorf("hosts[%d].health: unknown word %q", i, h.Health)
		case health != cluster.Gone && checkAddress(h.Dial) != nil:
			return l, fmt.Errorf("hosts[%d].dial: no address with a port: %q", i, h.Dial)
		}
	}
	return l, nil
}

// entry translates a host for the module. A site or class that the settings don't
// name is nobody's own: it gets a number that no settings give.
func (n *names) entry(h *Host) cluster.Entry {
	at := func(m map[string]int, word string) int {
		if i, ok := m[word]; ok {
			return i
		}
		return -1
	}
	return cluster.Entry{Server: addrOf(h.Host), Zone: at(n.sites, h.Site), Cell: h.Block,
		Kind: at(n.kinds, h.Class), SinceMs: h.BornMs, Health: healths[h.Health], Weight: h.Share}
}

// addrOf gives a backend its address in the module: from its name alone, so that
// it is the same at every agent and stays when the address to dial changes.
func addrOf(host string) cluster.Addr {
	h := fnv.New64a()
	io.WriteString(h, host)
	sum := h.Sum(nil)
	for i := range 2 {
		sum[i+2] ^= sum[i] // fold all 64 bits into 48
	}
	return cluster.Addr(sum[2:])
}

// discovery asks the service that lists the backends. Its methods block; the loop
// runs each in a goroutine of its own, and hears of the result by post.
type discovery struct {
	addr    string
	base    string
	gen     int // tells the results of one discovery from those of the one before
	client  *http.Client
	post    func(input)
	silence time.Duration
	ctx     context.Context
	close   context.CancelFunc // ends all calls
}

func newDiscovery(ctx context.Context, addr string, gen int, post func(input)) *discovery {
	d := &discovery{addr: addr, base: "http://" + addr + "/v1/endpoints", gen: gen, silence: watchSilence,
		// A connection a call: a kept one could break under the next call, which the
		// transport would then send twice, and each call is work for discovery.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
	d.ctx, d.close = context.WithCancel(ctx)
	d.post = func(in input) {
		in.gen = gen
		post(in)
	}
	return d
}

// eagerly tries a call until it goes through, for a while if the discovery is new.
func (d *discovery) eagerly(eager bool, try func() error) error {
	end := time.Now().Add(eagerFor)
	for {
		err := try()
		if err == nil || !eager || time.Now().After(end) {
			return err
		}
		select {
		case <-time.After(eagerEvery):
		case <-d.ctx.Done():
			return err
		}
	}
}

// fetch asks for the whole list once.
func (d *discovery) fetch(eager bool) {
	var l List
	timeout := fetchTimeout
	if eager {
		timeout = eagerTry
	}
	err := d.eagerly(eager, func() error {
		ctx, cancel := context.WithTimeout(d.ctx, timeout)
		defer cancel()
		body, err := d.get(ctx, d.base)
		if err != nil {
			return err
		}
		defer body.Close()
		text, err := io.ReadAll(io.LimitReader(body, maxList))
		if err != nil {
			return err
		}
		l, err = parseList(text)
		return err
	})
	d.post(input{kind: inFetched, list: l, err: err})
}

// watch follows the changes after version since until the connection ends, falls
// silent or holds a line that makes no sense.
func (d *discovery) watch(since int64, eager bool) {
	var err error
	_ = d.eagerly(eager, func() error {
		var told bool
		if told, err = d.follow(since, eager); told {
			return nil
		}
		return err
	})
	d.post(input{kind: inWatchEnded, err: err})
}

// follow is one watch; it reports whether a list came and why it ended.
func (d *discovery) follow(since int64, eager bool) (told bool, err error) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	first := d.silence
	if eager {
		first = min(first, eagerTry)
	}
	dead := time.AfterFunc(first, cancel)
	defer dead.Stop()
	body, err := d.get(ctx, d.base+"?follow=1&since="+strconv.FormatInt(since, 10))
	if err != nil {
		return false, err
	}
	defer body.Close()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxList)
	for lines.Scan() {
		dead.Reset(d.silence)
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		l, err := parseList(text)
		if err != nil {
			return told, fmt.Errorf("line: %w", err)
		}
		told = true
		d.post(input{kind: inWatched, list: l})
	}
	if err := lines.Err(); err != nil {
		return told, err
	}
	return told, io.EOF
}

func (d *discovery) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.New(resp.Status)
	}
	return resp.Body, nil
}
