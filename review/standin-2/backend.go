package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"molepaddle/internal/fleet/simulation"
)

const (
	// unframedStep is the time of one event, and unframedPause the time between the halves of the event that a stream
	// without a length writes in two parts.
	unframedStep  = 20 * time.Millisecond
	unframedPause = 150 * time.Millisecond
	// unframedEvery is the number of requests of which one gets an answer without a length: under 0.02 of them.
	unframedEvery = 51
	// splitEvent is the event that is written in two parts.
	splitEvent = 10
)

// serveUnframed is a decode backend of its own process. One in unframedEvery of its streams has no length and ends with its
// connection, the others are chunked. It writes its address and then what it does to standard output.
func serveUnframed(id, zone string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Println(ln.Addr())
	time.AfterFunc(longestRun, func() { os.Exit(2) })
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go serveUnframedConn(c, id, zone)
	}
}

// unframedSeals counts the seals of this process.
var unframedSeals atomic.Int64

func serveUnframedConn(c net.Conn, id, zone string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		attempt := r.Header.Get(simulation.HeaderAttempt)
		head := ""
		if attempt != "" {
			head = simulation.HeaderAttempt + ": " + attempt + "\r\n"
		}
		respond := func(status int, more, body string) {
			fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, more,
				len(body), body)
		}
		target := r.Header.Get(simulation.HeaderTarget)
		switch {
		case target != "" && target != id:
			respond(http.StatusMisdirectedRequest, simulation.HeaderNotRun+": 1\r\n", "")
		case r.URL.Path == simulation.PathReport:
			respond(http.StatusOK, "Content-Type: application/json\r\n", `{"phase":"decode","model_list":[{"name":"m","ver":1,`+
				`"loras":[]}],"util":false,"seqno":0,"queued":0,"active":0,"kv_inuse":0,"kv_cap":600000,"kv_refs":0}`)
		case r.URL.Path == simulation.PathOrder:
			respond(http.StatusConflict, "", "")
		case r.Header.Get(simulation.HeaderStage) != "":
			respond(http.StatusMisdirectedRequest, simulation.HeaderNotRun+": 1\r\n", "")
		default:
			n := unframedSeals.Add(1)
			seal := fmt.Sprintf("%s.%s.%d", id, zone, n)
			unframed := n%unframedEvery == 0
			framing := "Transfer-Encoding: chunked"
			if unframed {
				framing = "Connection: close"
				fmt.Printf("runs %s without a length, as its request %d\n", attempt, n)
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s: %s\r\nContent-Type: text/event-stream\r\n%s: 1\r\n%s\r\n\r\n",
				head, simulation.HeaderSeal, seal, simulation.HeaderVersions, framing)
			if !streamEvents(c, r, attempt, seal, unframed) || unframed {
				return
			}
		}
	}
}

// streamEvents writes the events of a stream, in chunks unless it is unframed, and reports whether all were written.
func streamEvents(c net.Conn, r *http.Request, attempt, seal string, unframed bool) bool {
	_, outText, _ := strings.Cut(r.Header.Get(simulation.HeaderTokens), ",")
	out, _ := strconv.Atoi(outText)
	last, _ := strconv.Atoi(r.Header.Get(simulation.HeaderLastEvent))
	write := func(text string) bool {
		if !unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, err := io.WriteString(c, text)
		return err == nil
	}
	for event := last + 1; event <= out; event++ {
		time.Sleep(unframedStep)
		text := fmt.Sprintf("id: %d\ndata: %s 1\n\n", event, seal)
		if unframed && event == splitEvent {
			half := len(text) / 2
			if !write(text[:half]) {
				return false
			}
			fmt.Printf("half of event %d of %s\n", event, attempt)
			time.Sleep(unframedPause)
			text = text[half:]
		}
		if !write(text) {
			return false
		}
	}
	if unframed {
		return true
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
