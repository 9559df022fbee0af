package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// streamBackend is a decode backend in a process of its own, which can crash as a process does. Its streams have no
// length and end with their connection.
type streamBackend struct {
	id        string
	crashAt   int // the process crashes in the middle of this event of its first stream; 0: never
	eventGap  time.Duration
	listening net.Listener
}

// runBackend serves until the process is ended.
func runBackend(address, id string, crashAt int, gap time.Duration) int {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoPlay
	}
	b := &streamBackend{id: id, crashAt: crashAt, eventGap: gap, listening: ln}
	fmt.Println(ln.Addr())
	for {
		c, err := ln.Accept()
		if err != nil {
			return exitNoPlay
		}
		go b.serve(c)
	}
}

// serve answers the requests of a connection, one at a time.
func (b *streamBackend) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		if !b.answer(c, r) {
			return
		}
	}
}

// answer answers one request, and reports whether the connection stays open.
func (b *streamBackend) answer(c net.Conn, r *http.Request) bool {
	if want := r.Header.Get("X-Molepaddle-Target-Backend"); want != "" && want != b.id {
		b.send(c, r, 421, "X-Molepaddle-Not-Run: 1\r\n", nil)
		return true
	}
	switch {
	case r.URL.Path == "/molepaddle/report":
		body, _ := json.Marshal(map[string]any{
			"phase": "decode", "model_list": []map[string]any{{"name": "m", "ver": 1, "loras": []string{}}}, "util": false,
			"seqno": 0, "queued": 0, "active": 0, "kv_inuse": 0, "kv_cap": 600000, "kv_refs": 0,
		})
		b.send(c, r, 200, "Content-Type: application/json\r\n", body)
	case r.URL.Path == "/molepaddle/order":
		b.send(c, r, 409, "", nil)
	case r.Header.Get("X-Molepaddle-Stage") == "prefill" || r.Header.Get("Kv-From") != "":
		b.send(c, r, 421, "X-Molepaddle-Not-Run: 1\r\n", nil)
	case r.Method == http.MethodPost:
		b.stream(c, r)
		return false
	default:
		b.send(c, r, 200, "X-Molepaddle-Backend-Id: "+b.id+"\r\n", nil)
	}
	return true
}

// send writes an answer with a length.
func (b *streamBackend) send(c net.Conn, r *http.Request, status int, extra string, body []byte) {
	own := ""
	if id := r.Header.Get("X-Molepaddle-Attempt-Id"); id != "" {
		own = "X-Molepaddle-Attempt-Id: " + id + "\r\n"
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), own, extra,
		len(body), body)
}

// stream writes a stream of events that ends with its connection.
func (b *streamBackend) stream(c net.Conn, r *http.Request) {
	_, out, _ := strings.Cut(r.Header.Get("X-Molepaddle-Token-Count"), ",")
	total, _ := strconv.Atoi(strings.TrimSpace(out))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	seal := "seal-" + b.id + "-" + r.Header.Get("X-Molepaddle-Attempt-Id")
	fmt.Printf("%d %s runs from event %d of %d\n", time.Now().UnixMilli(), r.Header.Get("X-Molepaddle-Attempt-Id"), last+1,
		total)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Molepaddle-Attempt-Id: %s\r\nX-Molepaddle-Backend-Seal: %s\r\n"+
		"Content-Type: text/event-stream\r\nVersions: 1\r\nConnection: close\r\n\r\n",
		r.Header.Get("X-Molepaddle-Attempt-Id"), seal)
	for id := last + 1; id <= total; id++ {
		time.Sleep(b.eventGap)
		event := fmt.Sprintf("id: %d\ndata: %s 1\n\n", id, seal)
		if b.crashAt > 0 && id == b.crashAt {
			io.WriteString(c, event[:len(event)/2])
			time.Sleep(b.eventGap)
			fmt.Printf("%d crashes in the middle of event %d of %d\n", time.Now().UnixMilli(), id, total)
			syscall.Kill(os.Getpid(), syscall.SIGKILL)
		}
		if _, err := io.WriteString(c, event); err != nil {
			return
		}
	}
}
