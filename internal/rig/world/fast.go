package world

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"

	"molepaddle/internal/protocol/fcgi"
	"molepaddle/internal/rig/testkit"
)

// Servers that speak FastCGI do all that the others do. What they read and say is worded as HTTP for the rest
// of the world, and as records for the agent.

// fastRequest words the records of one request: its head once its params have come, all of it once it is
// whole, with what stands behind it.
func fastRequest(raw []byte) (text []byte) {
	from := bufio.NewReader(bytes.NewReader(raw))
	in, params, body := fcgi.NewReader(from), []byte(nil), []byte(nil)
	for {
		h, err := in.Next()
		if err != nil {
			return text
		}
		part, err := io.ReadAll(in)
		switch {
		case err != nil:
			return text
		case h.Type == fcgi.Params && h.Length > 0:
			params = append(params, part...)
		case h.Type == fcgi.Params:
			text = fastHead(params)
		case h.Type == fcgi.Stdin && h.Length > 0:
			body = append(body, part...)
		case h.Type == fcgi.Stdin:
			if text == nil {
				return nil
			}
			rest, _ := io.ReadAll(from)
			text = fmt.Appendf(text, "Content-Length: %d\r\n\r\n%s%s", len(body), body, rest)
			return text
		}
	}
}

func fastHead(params []byte) []byte {
	v := testkit.FastParams(params)
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nRequest-Id: %s\r\n", v["REQUEST_METHOD"], v["REQUEST_URI"],
		v["HTTP_REQUEST_ID"])
}

// fastAnswer is an answer's text as records, with its end if it has come to one. What is no answer stays as
// it is.
func fastAnswer(text string, ends bool) []byte {
	if !strings.HasPrefix(text, "HTTP/1.1 ") {
		return []byte(text)
	}
	if _, after, early := strings.Cut(text, "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"); early {
		return append(fcgi.Append(nil, fcgi.Stderr, 1, []byte("early")), fastAnswer(after, ends)...)
	}
	out := fcgi.AppendStream(nil, fcgi.Stdout, 1, []byte("Status: "+strings.TrimPrefix(text, "HTTP/1.1 ")))
	if ends {
		out = fcgi.AppendEnd(out, 1, fcgi.End{})
	}
	return out
}

// fastRecords are the pieces of an answer as records, as many; what comes behind a whole one, with the last.
func fastRecords(pieces [][]byte, ends bool) [][]byte {
	text := string(bytes.Join(pieces, nil))
	more := ""
	if i := strings.LastIndex(text, "HTTP/1.1 200"); i > 0 && !strings.HasPrefix(text, "HTTP/1.1 100") {
		text, more = text[:i], text[i:]
	} else if whole, noise, behind := strings.Cut(text, "\x00noise"); behind && ends {
		text, more = whole, "\x00noise"+noise
	}
	out := append(fastAnswer(text, ends), fastAnswer(more, ends)...)
	var cut [][]byte
	for i := range pieces {
		from, to := len(out)*i/len(pieces), len(out)*(i+1)/len(pieces)
		cut = append(cut, out[from:to])
	}
	return cut
}

// fastIf is an answer's text as records where that is what is spoken.
func fastIf(fast bool, text string) []byte {
	if fast {
		return fastAnswer(text, true)
	}
	return []byte(text)
}
