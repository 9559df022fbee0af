package testkit

import (
	"bufio"
	"io"
	"net"
	"time"

	"molepaddle/internal/protocol/fcgi"
)

// FastParams are the pairs of a PARAMS stream, as far as they are whole.
func FastParams(raw []byte) map[string]string {
	params := map[string]string{}
	for len(raw) > 0 {
		name, value, rest, err := fcgi.NextPair(raw)
		if err != nil {
			break
		}
		params[string(name)], raw = string(value), rest
	}
	return params
}

// FastRequest reads one request over FastCGI, as a server does, to its last byte.
func FastRequest(r *bufio.Reader) (params map[string]string, body string, err error) {
	in, raw := fcgi.NewReader(r), []byte(nil)
	for {
		h, err := in.Next()
		if err != nil {
			return nil, "", err
		}
		part, err := io.ReadAll(in)
		switch {
		case err != nil:
			return nil, "", err
		case h.Type == fcgi.Params:
			raw = append(raw, part...)
		case h.Type == fcgi.Stdin && h.Length > 0:
			body += string(part)
		case h.Type == fcgi.Stdin:
			_, err = r.Discard(h.Padding)
			return FastParams(raw), body, err
		}
	}
}

// FastAnswer is a server's answer: what it writes to STDOUT, and its end.
func FastAnswer(stdout string, end fcgi.End) []byte {
	out := fcgi.AppendStream(nil, fcgi.Stdout, 1, []byte(stdout))
	return fcgi.AppendEnd(fcgi.Append(out, fcgi.Stdout, 1, nil), 1, end)
}

// FastBegun are the records of a request whose body goes on, FastComplete those of one that is whole.
func FastBegun(id uint16, params map[string]string, body string) []byte {
	var pairs []byte
	for name, value := range params {
		pairs = fcgi.AppendPair(pairs, name, value)
	}
	out := fcgi.AppendBegin(nil, id, fcgi.Begin{Role: fcgi.Responder, Keep: true})
	out = fcgi.Append(fcgi.AppendStream(out, fcgi.Params, id, pairs), fcgi.Params, id, nil)
	return fcgi.AppendStream(out, fcgi.Stdin, id, []byte(body))
}

// FastComplete is FastBegun with the end of the body.
func FastComplete(id uint16, params map[string]string, body string) []byte {
	return fcgi.Append(FastBegun(id, params, body), fcgi.Stdin, id, nil)
}

// Web is a web server's connection, with several requests on it; one goroutine reads it.
type Web struct {
	net.Conn
	Stderr map[uint16]string // what has come there
	stdout map[uint16][]byte // the same, of requests that have not ended
	in     *fcgi.Reader
}

// NewWeb has 20 s for all that comes.
func NewWeb(c net.Conn) *Web {
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &Web{c, map[uint16]string{}, map[uint16][]byte{}, fcgi.NewReader(bufio.NewReaderSize(c, 64<<10))}
}

// Next reads to the next END_REQUEST and gives the request's STDOUT, or to another record that is no output;
// the end of the connection is id 0.
func (w *Web) Next() (id uint16, text string, end fcgi.End, err error) {
	for {
		h, err := w.in.Next()
		if err != nil {
			return 0, "", end, err
		}
		part, err := io.ReadAll(w.in)
		if err != nil {
			return 0, "", end, err
		}
		switch h.Type {
		case fcgi.Stdout:
			w.stdout[h.ID] = append(w.stdout[h.ID], part...)
		case fcgi.Stderr:
			w.Stderr[h.ID] += string(part)
		case fcgi.EndRequest:
			end, err = fcgi.ParseEnd(part)
			text = string(w.stdout[h.ID])
			delete(w.stdout, h.ID)
			return h.ID, text, end, err
		default:
			return h.ID, string(part), end, nil
		}
	}
}
