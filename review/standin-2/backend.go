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
	// of this backend writes in two parts.
	unframedStep  = 20 * time.Millisecond
	unframedPause = 2 * time.Second
	// splitEvent is the event that is written in two parts.
	splitEvent = 10
)

// serveUnframed is a decode backend of its own process, whose streams have no length and end with their connection. It
// writes its address and then what it does to standard output.
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
			seal := fmt.Sprintf("%s.%s.%d", id, zone, unframedSeals.Add(1))
			fmt.Printf("runs %s\n", attempt)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s: %s\r\nContent-Type: text/event-stream\r\n%s: 1\r\nConnection: close\r\n\r\n",
				head, simulation.HeaderSeal, seal, simulation.HeaderVersions)
			streamUnframed(c, r, attempt, seal)
			return
		}
	}
}

// streamUnframed writes the events of a stream; it ends with the connection.
func streamUnframed(c net.Conn, r *http.Request, attempt, seal string) {
	_, outText, _ := strings.Cut(r.Header.Get(simulation.HeaderTokens), ",")
	out, _ := strconv.Atoi(outText)
	last, _ := strconv.Atoi(r.Header.Get(simulation.HeaderLastEvent))
	for event := last + 1; event <= out; event++ {
		time.Sleep(unframedStep)
		text := fmt.Sprintf("id: %d\ndata: %s 1\n\n", event, seal)
		if event == splitEvent {
			half := len(text) / 2
			if _, err := io.WriteString(c, text[:half]); err != nil {
				return
			}
			fmt.Printf("half of event %d of %s\n", event, attempt)
			time.Sleep(unframedPause)
			text = text[half:]
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
	fmt.Printf("ends %s\n", attempt)
}
