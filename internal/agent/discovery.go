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

	"molepaddle/policy"
)

const (
	// watchSilence ends a watch on which no line came: discovery writes one every 2 s,
	// and what it has to tell counts as told after 6 s, asking again included.
	watchSilence = 3500 * time.Millisecond
	fetchTimeout = 3 * time.Second
	maxList      = 4 << 20 // bytes of one list
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

var healths = map[string]policy.Health{
	"ready": policy.Ready, "draining": policy.Draining, "gone": policy.Gone,
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
		case health != policy.Gone && checkAddress(h.Dial) != nil:
			return l, fmt.Errorf("hosts[%d].dial: no address with a port: %q", i, h.Dial)
		}
	}
	return l, nil
}

// entry translates a host for the module. A site or class that the settings don't
// name is nobody's own: it gets a number that no settings give.
func (n *names) entry(h *Host) policy.Entry {
	at := func(m map[string]int, word string) int {
		if i, ok := m[word]; ok {
			return i
		}
		return -1
	}
	return policy.Entry{Server: addrOf(h.Host), Zone: at(n.sites, h.Site), Cell: h.Block,
		Kind: at(n.kinds, h.Class), SinceMs: h.BornMs, Health: healths[h.Health], Weight: h.Share}
}

// addrOf gives a backend its address in the module: from its name alone, so that
// it is the same at every agent and stays when the address to dial changes.
func addrOf(host string) policy.Addr {
	h := fnv.New64a()
	io.WriteString(h, host)
	sum := h.Sum(nil)
	for i := range 2 {
		sum[i+2] ^= sum[i] // fold all 64 bits into 48
	}
	return policy.Addr(sum[2:])
}

// discovery asks the service that lists the backends. Its methods block; the loop
// runs each in a goroutine of its own, and hears of the result by post.
type discovery struct {
	base    string
	client  *http.Client
	post    func(input)
	silence time.Duration
}

func newDiscovery(addr string, post func(input)) *discovery {
	return &discovery{base: "http://" + addr + "/v1/endpoints", post: post, silence: watchSilence,
		// A connection a call: a kept one could break under the next call, which the
		// transport would then send twice, and each call is work for discovery.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// fetch asks for the whole list once.
func (d *discovery) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	l, err := func() (List, error) {
		body, err := d.get(ctx, d.base)
		if err != nil {
			return List{}, err
		}
		defer body.Close()
		text, err := io.ReadAll(io.LimitReader(body, maxList))
		if err != nil {
			return List{}, err
		}
		return parseList(text)
	}()
	d.post(input{kind: inFetched, list: l, err: err})
}

// watch follows the changes after version since until the connection ends, falls
// silent or holds a line that makes no sense.
func (d *discovery) watch(ctx context.Context, since int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dead := time.AfterFunc(d.silence, cancel)
	defer dead.Stop()
	err := func() error {
		body, err := d.get(ctx, d.base+"?follow=1&since="+strconv.FormatInt(since, 10))
		if err != nil {
			return err
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
				return fmt.Errorf("line: %w", err)
			}
			d.post(input{kind: inWatched, list: l})
		}
		if err := lines.Err(); err != nil {
			return err
		}
		return io.EOF
	}()
	d.post(input{kind: inWatchEnded, err: err})
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
