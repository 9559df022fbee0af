// Package operatorclient is the operator's client of the control plane: it shows the configuration in force and sends
// changes. How a caller moves from agent to agent
// follows PROTOCOL.md, "The operator's API"; the calls are those of externalapi's table.
package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/routingconfig"
)

// Figures of a call. The first three are PROTOCOL.md's.
const (
	// maxRedirects is how often one try follows 307.
	maxRedirects = 2
	// maxRejections is how many answers of another 4xx end a call.
	maxRejections = 3
	// DefaultSilence is how long an agent may say nothing before another is asked; a second more for each MiB sent.
	DefaultSilence = time.Second
	// DefaultWithin bounds a whole call with all its tries.
	DefaultWithin = 10 * time.Second
	// MaxAnswer is the most that is read of an answer, in bytes; the control server takes configurations of 16 MiB.
	MaxAnswer = 64 << 20
	// firstPause is the pause after the first try; it doubles up to maxPause.
	firstPause, maxPause = 100 * time.Millisecond, time.Second
)

// Client calls the control plane. It is safe for use by many goroutines.
type Client struct {
	// Control are the control addresses, host:port, asked in turn; one or more.
	Control []string
	// Silence is how long an agent may say nothing; 0: DefaultSilence.
	Silence time.Duration
	// Within bounds a call; 0: DefaultWithin.
	Within time.Duration
}

// Answer is a 200.
type Answer struct {
	// From is the host:port that gave it.
	From string
	// Body is what came with it.
	Body []byte
}

// Refused is the error of a call that got a clear no: the configuration is as it was, as far as this call goes.
type Refused struct {
	// Status is 412 where another version is current, 400 for an invalid configuration, 404 to Show while there is none,
	// or another 4xx.
	Status int
	// From is the host:port that said it.
	From string
	// Why is one line; Findings are those of an invalid configuration.
	Why      string
	Findings routingconfig.Findings
}

func (r *Refused) Error() string {
	return fmt.Sprintf("refused by %s (%d): %s", r.From, r.Status, r.Why)
}

// Unclear is the error of a call that got neither a yes nor a clear no in time: a change may be in force or not. The
// same call may be made again, unchanged.
type Unclear struct {
	// Last is what the last try met; never nil.
	Last error
}

func (u *Unclear) Error() string { return "no clear answer: " + u.Last.Error() }

// Unwrap is the last try's error.
func (u *Unclear) Unwrap() error { return u.Last }

// Show asks for the newest configuration. Errors: *Refused, with status 404 while there is none; *Unclear.
func (c *Client) Show(ctx context.Context) (Answer, error) {
	return c.call(ctx, externalapi.Show, nil, nil)
}

// Residency asks where data rested, by what is on the disks of the control plane: of one tenant, of one route that has
// regions without a tenant, or of all where both are empty. The body is a externalapi.Residency. Errors: *Refused, with status 404
// for a name of which nothing is known; *Unclear.
func (c *Client) Residency(ctx context.Context, tenant, route string) (Answer, error) {
	call, query := externalapi.Resided, url.Values{}
	if tenant != "" {
		query.Set(externalapi.QueryTenant, tenant)
	}
	if route != "" {
		query.Set(externalapi.QueryRoute, route)
	}
	if len(query) > 0 {
		call.Path += "?" + query.Encode()
	}
	return c.call(ctx, call, nil, nil)
}

// Change sends a configuration (externalapi.Replace) or a change of named items (externalapi.Update) on top of the version base; 0
// where there is none yet. Errors: *Refused and *Unclear.
func (c *Client) Change(ctx context.Context, call externalapi.Call, base int64, body []byte) (Answer, error) {
	return c.call(ctx, call, body, http.Header{
		"Content-Type":          {"application/json"},
		externalapi.BaseVersion: {strconv.FormatInt(base, 10)},
	})
}

// call goes from agent to agent, with growing pauses, until an answer is clear or the time is over.
func (c *Client) call(ctx context.Context, call externalapi.Call, body []byte, h http.Header) (Answer, error) {
	if len(c.Control) == 0 {
		return Answer{}, &Unclear{errors.New("no control address is known")}
	}
	within := c.Within
	if within <= 0 {
		within = DefaultWithin
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	t := &http.Transport{DialContext: (&net.Dialer{KeepAlive: -1}).DialContext, DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	client := &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	var last error
	rejections := 0
	for n, pause := 0, firstPause; ; n++ {
		status, answer, err := c.try(ctx, client, call, c.Control[n%len(c.Control)], body, h)
		switch {
		case err != nil:
			if last == nil || ctx.Err() == nil { // the end of the time says less than what came before
				last = err
			}
		case status == http.StatusOK:
			return answer, nil
		default:
			no := refusal(status, answer)
			last = errors.Errorf("%s: status %d: %s", no.From, no.Status, no.Why)
			switch status {
			case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed,
				http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
				return Answer{}, no
			case http.StatusRequestTimeout, http.StatusTooManyRequests:
			default:
				if status/100 == 4 {
					if rejections++; rejections == maxRejections {
						return Answer{}, no
					}
				}
			}
		}
		wait := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			wait.Stop()
			return Answer{}, &Unclear{last}
		case <-wait.C:
		}
		pause = min(2*pause, maxPause)
	}
}

// refusal reads an answer that is no 200. The body is read as the control server writes it; of another one the first line
// is kept.
func refusal(status int, answer Answer) *Refused {
	r := &Refused{Status: status, From: answer.From}
	var said struct {
		Why      string `json:"err"`
		Findings []struct {
			Place string `json:"place"`
			Text  string `json:"text"`
		} `json:"findings"`
	}
	if json.Unmarshal(answer.Body, &said) == nil && said.Why != "" {
		r.Why = said.Why
		for _, f := range said.Findings {
			r.Findings = append(r.Findings, routingconfig.Finding{Path: f.Place, Message: f.Text})
		}
		return r
	}
	const most = 200
	line, _, _ := strings.Cut(strings.TrimSpace(string(answer.Body[:min(len(answer.Body), most)])), "\n")
	if r.Why = line; line == "" {
		r.Why = strings.ToLower(http.StatusText(status))
	}
	return r
}

// try asks one agent and where that sends on to. An error is one of the network or of an answer that makes no sense.
func (c *Client) try(
	ctx context.Context, client *http.Client, call externalapi.Call, addr string, body []byte, h http.Header,
) (status int, answer Answer, err error) {
	silence := c.Silence
	if silence <= 0 {
		silence = DefaultSilence
	}
	silence += time.Duration(len(body)>>20) * time.Second
	at := "http://" + addr + call.Path
	for hops := 0; ; hops++ {
		status, answer, next, err := ask(ctx, client, call.Method, at, silence, body, h)
		if err != nil || status != http.StatusTemporaryRedirect {
			return status, answer, err
		}
		if hops == maxRedirects {
			return 0, Answer{}, errors.Errorf("%s: sent on more than %d times", addr, maxRedirects)
		}
		if next == "" {
			return 0, Answer{}, errors.Errorf("%s: a 307 without a Location that can be followed", answer.From)
		}
		at = next
	}
}

// ask makes one request; next is where a 307 leads, empty where that is no HTTP URL with a host.
func ask(
	ctx context.Context, client *http.Client, method, at string, silence time.Duration, body []byte, h http.Header,
) (status int, answer Answer, next string, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := http.NewRequestWithContext(ctx, method, at, bytes.NewReader(body))
	if err != nil {
		return 0, answer, "", errors.Wrap(err, "call")
	}
	if h != nil {
		req.Header = h.Clone()
	}
	answer.From = req.URL.Host
	quiet := time.AfterFunc(silence, func() { cancel(errors.Errorf("%s: silent for %v", answer.From, silence)) })
	defer quiet.Stop()
	because := func(err error) error {
		if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.DeadlineExceeded) {
			return cause // the silence, or the caller's own
		}
		if in := new(url.Error); errors.As(err, &in) {
			err = in.Err // without method and URL
		}
		return errors.Wrap(err, answer.From)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, answer, "", because(err)
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	piece := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(piece)
		quiet.Reset(silence)
		b.Write(piece[:n])
		if b.Len() > MaxAnswer {
			return 0, answer, "", errors.Errorf("%s: an answer over %d bytes", answer.From, MaxAnswer)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return 0, answer, "", because(err)
		}
	}
	answer.Body = b.Bytes()
	if to, err := resp.Location(); err == nil && to.Scheme == "http" && to.Host != "" {
		next = to.String()
	}
	return resp.StatusCode, answer, next, nil
}
