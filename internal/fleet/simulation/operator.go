package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Operator calls the operator's API at the ctl addresses.
type Operator struct {
	Ctl     []string      // IP:PORT; tried in turn
	Silence time.Duration // how long a call may be silent; a second, and more for large bodies, when 0
	Backoff time.Duration // first pause between tries, doubled up to a second; 20 ms when 0
	Tries   int           // most calls, 307s not counted; 0 for as many as ctx allows
}

// Reply is the outcome of one of the operator's calls.
type Reply struct {
	Status  int    // of the answer that ended the call; 0 when none did
	Version uint64 // acknowledged (replace, update) or shown; 0 otherwise
	Body    []byte
	From    string // URL that answered
	Tries   int
	At      time.Time // of the answer
}

// Replace sends a whole configuration built on base. doc is JSON as []byte, or a value to be marshalled.
func (o *Operator) Replace(ctx context.Context, base uint64, doc any) (Reply, error) {
	return o.submit(ctx, PathReplace, base, doc)
}

// Update sends a change of named items built on base; doc as for Replace.
func (o *Operator) Update(ctx context.Context, base uint64, doc any) (Reply, error) {
	return o.submit(ctx, PathUpdate, base, doc)
}

// Show asks for the newest configuration.
func (o *Operator) Show(ctx context.Context) (Reply, error) {
	rep, err := o.call(ctx, http.MethodGet, PathShow, nil, nil)
	if err == nil && rep.Status == http.StatusOK {
		rep.Version, err = documentVersion(rep.Body)
	}
	return rep, err
}

func (o *Operator) submit(ctx context.Context, path string, base uint64, doc any) (Reply, error) {
	body, ok := doc.([]byte)
	if !ok {
		var err error
		if body, err = json.Marshal(doc); err != nil {
			return Reply{}, errors.Wrap(err, "marshal configuration")
		}
	}
	rep, err := o.call(ctx, http.MethodPost, path, body, http.Header{
		"Content-Type": {"application/json"}, HeaderBaseVersion: {strconv.FormatUint(base, 10)},
	})
	if err == nil && rep.Status == http.StatusOK {
		rep.Version, err = documentVersion(body)
	}
	return rep, err
}

func documentVersion(doc []byte) (uint64, error) {
	var v struct {
		Ver *uint64 `json:"ver"`
	}
	if err := json.Unmarshal(doc, &v); err != nil {
		return 0, errors.Wrap(err, "read configuration")
	}
	if v.Ver == nil {
		return 0, errors.New("the configuration has no ver")
	}
	return *v.Ver, nil
}

// call goes from agent to agent until a call is ended: by any 2xx, by 400, 409, 412, 413 or 422 at once, by other 4xx at
// the third try.
func (o *Operator) call(ctx context.Context, method, path string, body []byte, h http.Header) (Reply, error) {
	if len(o.Ctl) == 0 {
		return Reply{}, errors.New("no ctl address")
	}
	silence := o.Silence
	if silence == 0 {
		silence = time.Second + time.Duration(len(body)>>20)*time.Second
	}
	pause := o.Backoff
	if pause == 0 {
		pause = 20 * time.Millisecond
	}
	var last error
	client4xx := 0
	for n := 1; ; n++ {
		rep, err := o.callOnce(ctx, silence, method, "http://"+o.Ctl[(n-1)%len(o.Ctl)]+path, body, h)
		rep.Tries = n
		switch s := rep.Status; {
		case err != nil:
			last = err
		case s/100 == 2, s == 400, s == 409, s == 412, s == 413, s == 422:
			return rep, nil
		case s/100 == 4 && s != 408 && s != 429:
			if client4xx++; client4xx == 3 {
				return rep, nil
			}
			last = errors.Errorf("status %d from %s", s, rep.From)
		default:
			last = errors.Errorf("status %d from %s", s, rep.From)
		}
		if o.Tries > 0 && n >= o.Tries {
			return Reply{Tries: n}, errors.Wrapf(last, "%s %s: %d tries", method, path, n)
		}
		if err := sleep(ctx, pause); err != nil {
			return Reply{Tries: n}, errors.Wrapf(last, "%s %s: %v", method, path, err)
		}
		pause = min(2*pause, time.Second)
	}
}

// tryReserve makes one call, following 307 twice.
func (o *Operator) callOnce(
	ctx context.Context, silence time.Duration, method, url string, body []byte, h http.Header,
) (Reply, error) {
	client := http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Timeout:       silence,
	}
	for hop := 0; ; hop++ {
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return Reply{}, errors.Wrap(err, "make call")
		}
		if h != nil {
			req.Header = h.Clone()
		}
		resp, err := client.Do(req)
		if err != nil {
			return Reply{}, errors.Wrap(err, "call")
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return Reply{}, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode == http.StatusTemporaryRedirect && hop < 2 {
			if url = resp.Header.Get("Location"); url == "" {
				return Reply{}, errors.New("307 without Location")
			}
			continue
		}
		return Reply{Status: resp.StatusCode, Body: got, From: url, At: time.Now()}, nil
	}
}
