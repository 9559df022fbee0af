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
	"time"
)

// streamBackend is a decode backend in a process of its own, so that it can be killed. Its streams have no length and end
// with their connection. It writes each event in two pieces.
type streamBackend struct {
	id       string
	pauseAt  int           // event between whose pieces it pauses for a while
	eventGap time.Duration // between two events, and the length of the pause
}

// runBackend serves until the process is ended.
func runBackend(address, id string, pauseAt int, gap time.Duration) int {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoPlay
	}
	b := &streamBackend{id: id, pauseAt: pauseAt, eventGap: gap}
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
	attempt := r.Header.Get("X-Molepaddle-Attempt-Id")
	fmt.Printf("runs %s from event %d of %d\n", attempt, last+1, total)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Molepaddle-Attempt-Id: %s\r\nX-Molepaddle-Backend-Seal: %s\r\n"+
		"Content-Type: text/event-stream\r\nVersions: 1\r\nConnection: close\r\n\r\n", attempt, seal)
	for id := last + 1; id <= total; id++ {
		time.Sleep(b.eventGap)
		event := fmt.Sprintf("id: %d\ndata: %s 1\n\n", id, seal)
		half := len(event) / 2
		if _, err := io.WriteString(c, event[:half]); err != nil {
			return
		}
		if id == b.pauseAt {
			fmt.Printf("%s event %d\n", halfWritten, id)
			time.Sleep(b.eventGap)
		}
		if _, err := io.WriteString(c, event[half:]); err != nil {
			return
		}
	}
	fmt.Printf("completed %s\n", attempt)
}

// halfWritten begins the line that a backend prints when it pauses in the middle of an event.
const halfWritten = "wrote half of"
