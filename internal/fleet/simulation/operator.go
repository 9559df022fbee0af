package simulation

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

const (
	// defaultCallTimeout bounds a call, with a second more for each MiB of its body.
	defaultCallTimeout = time.Second
	// defaultBackoff and longestBackoff bound the pauses between calls, which double.
	defaultBackoff = 20 * time.Millisecond
	longestBackoff = time.Second
	// maxRedirects is the number of 307s that a call follows: one to the leader, and one more if the leader has
	// changed.
	maxRedirects = 2
	// clientErrorLimit is the number of 4xx answers after which a call ends with the last of them.
	clientErrorLimit = 3
)

// Operator calls the operator's API at the ctl addresses. It is safe for concurrent use, but its fields must not be
// changed during a call.
type Operator struct {
	Ctl         []string      // IP:PORT; called in turn
	Timeout     time.Duration // bounds each call; 1 s, and 1 s more for each MiB of its body, when 0
	Backoff     time.Duration // first pause between calls, doubled up to 1 s; 20 ms when 0
	MaxAttempts int           // maximum number of calls, 307s not counted; 0 for no limit but ctx
}

// Reply is the outcome of one of the operator's calls.
type Reply struct {
	Status   int    // of the answer that ended the call; 0 when none did
	Version  uint64 // acknowledged (replace, update) or shown; 0 otherwise
	Body     []byte
	From     string    // URL that answered
	Attempts int       // calls made, 307s not counted
	At       time.Time // of the answer
}

// Replace sends a complete configuration based on the version base. It blocks until an answer ends the call, or returns
// an error when ctx ends or MaxAttempts is reached. doc is JSON as []byte, or a value to be marshalled.
func (o *Operator) Replace(ctx context.Context, base uint64, doc any) (Reply, error) {
	return o.submit(ctx, PathReplace, base, doc)
}

// Update sends an update of named items, like Replace.
func (o *Operator) Update(ctx context.Context, base uint64, doc any) (Reply, error) {
	return o.submit(ctx, PathUpdate, base, doc)
}

// Show returns the newest configuration in Reply.Body. It blocks like Replace.
func (o *Operator) Show(ctx context.Context) (Reply, error) {
	rep, err := o.call(ctx, http.MethodGet, PathShow, nil, nil)
	if err == nil && rep.Status == http.StatusOK {
		rep.Version, err = documentVersion(rep.Body)
	}
	return rep, err
}

// submit sends a configuration or a change of one.
func (o *Operator) submit(ctx context.Context, path string, base uint64, doc any) (Reply, error) {
	body, ok := doc.([]byte)
	if !ok {
		var err error
		if body, err = json.Marshal(doc); err != nil {
			return Reply{}, errors.Wrap(err, "marshal configuration")
		}
	}
	rep, err := o.call(ctx, http.MethodPost, path, body, http.Header{
		"Content-Type":    {"application/json"},
		HeaderBaseVersion: {strconv.FormatUint(base, 10)},
	})
	if err == nil && rep.Status == http.StatusOK {
		rep.Version, err = documentVersion(body)
	}
	return rep, err
}

// documentVersion returns the version of a configuration.
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

// call tries one ctl address after the other until an answer is final, ctx ends or MaxAttempts is reached.
func (o *Operator) call(ctx context.Context, method, path string, body []byte, h http.Header) (Reply, error) {
	if len(o.Ctl) == 0 {
		return Reply{}, errors.New("no ctl address")
	}
	timeout := o.Timeout
	if timeout == 0 {
		timeout = defaultCallTimeout + time.Duration(len(body)>>20)*time.Second
	}
	pause := cmp.Or(o.Backoff, defaultBackoff)
	var lastErr error
	clientErrors := 0
	for n := 1; ; n++ {
		url := "http://" + o.Ctl[(n-1)%len(o.Ctl)] + path
		rep, err := o.callOnce(ctx, timeout, method, url, body, h)
		rep.Attempts = n
		if err != nil {
			lastErr = err
		} else {
			if isClientError(rep.Status) {
				clientErrors++
			}
			if isFinal(rep.Status) || clientErrors == clientErrorLimit {
				return rep, nil
			}
			lastErr = errors.Errorf("status %d from %s", rep.Status, rep.From)
		}
		if o.MaxAttempts > 0 && n >= o.MaxAttempts {
			return Reply{Attempts: n}, errors.Wrapf(lastErr, "%s %s: %d tries", method, path, n)
		}
		if err := sleep(ctx, pause); err != nil {
			return Reply{Attempts: n}, errors.Wrapf(lastErr, "%s %s: %v", method, path, err)
		}
		pause = min(2*pause, longestBackoff)
	}
}

// isFinal reports whether a status ends a call at once: any 2xx, and errors that another agent would return as well.
func isFinal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity:
		return true
	}
	return status/100 == 2
}

// isClientError reports whether a status is a 4xx that another agent might return as well.
func isClientError(status int) bool {
	return status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// callOnce makes one call, following up to maxRedirects 307s. timeout bounds each of these.
func (o *Operator) callOnce(
	ctx context.Context, timeout time.Duration, method, url string, body []byte, h http.Header,
) (Reply, error) {
	client := http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Timeout:       timeout,
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
		answer, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return Reply{}, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode == http.StatusTemporaryRedirect && hop < maxRedirects {
			if url = resp.Header.Get("Location"); url == "" {
				return Reply{}, errors.New("307 without Location")
			}
			continue
		}
		return Reply{
			Status: resp.StatusCode,
			Body:   answer,
			From:   url,
			At:     time.Now(),
		}, nil
	}
}
