package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"molepaddle/internal/fleet/simulation"
)

// operatorChange is a change of the configuration. Its tag is unique; other changes may have the same version and base.
type operatorChange struct {
	base, version int
	tag           string
}

// routeName returns the name of the route that a change adds. The path of the route is /mark/.
func (o operatorChange) routeName() string { return fmt.Sprintf("mark-%d-%s", o.version, o.tag) }

// parseRouteName parses the name of a route; ok is false if no change added the route.
func parseRouteName(name string) (version int, tag string, ok bool) {
	parts := strings.SplitN(name, "-", 3)
	if len(parts) != 3 || parts[0] != "mark" {
		return 0, "", false
	}
	version, err := strconv.Atoi(parts[1])
	return version, parts[2], err == nil
}

func changeRoute(name string) object {
	return route(name, "/"+name+"/", "readonly", lookups, 4000, 200, 3, false)
}

// verdict is the outcome of an operator's call.
type verdict uint8

const (
	indeterminate verdict = iota // no definite answer: the change may have been accepted
	accepted                     // 200 to a change
	rejected                     // 412, or another answer that ends the call
	shown                        // 200 with a configuration
)

// scheduleOperator submits changes and reads the configuration, one call at a time.
type scheduleOperator struct {
	id           int
	run          *scheduleRun
	rng          *rand.Rand
	http         *http.Client
	known        []operatorChange // the configuration as this operator knows it: all changes up to the newest
	acknowledged []operatorChange // own changes that were acknowledged
	refused      []operatorChange // own changes that were rejected
	count        int
}

const (
	// operatorReadTimeout is the wait for an answer before an operator tries another machine.
	operatorReadTimeout = time.Second
	// lateResendChanges is the number of further changes after which a resent call counts as late.
	lateResendChanges = 100
	// resendTimeout bounds the attempts of a resent call, which may end without a definite answer.
	resendTimeout = 4 * time.Second
)

func newScheduleOperator(run *scheduleRun, id int) *scheduleOperator {
	return &scheduleOperator{
		id:    id,
		run:   run,
		rng:   rand.New(rand.NewPCG(run.s.seed, uint64(id))),
		known: []operatorChange{initialChange},
		http: &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
				DialContext:       (&net.Dialer{Timeout: operatorReadTimeout}).DialContext,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Timeout:       operatorReadTimeout,
		},
	}
}

// work makes calls until stop is closed. The call in flight then continues until it has a definite answer or ctx ends.
func (o *scheduleOperator) work(ctx context.Context, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		default:
		}
		switch draw := o.rng.IntN(10); {
		case draw < 6:
			o.change(ctx)
		case draw < 8 && len(o.acknowledged)+len(o.refused) > 0:
			o.resend(ctx)
		default:
			o.show(ctx)
		}
		if !o.run.s.busy {
			o.pause(ctx, time.Duration(o.rng.IntN(60))*time.Millisecond)
		}
	}
}

func (o *scheduleOperator) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// callResult is the answer that ended a call.
type callResult struct {
	status int
	body   []byte
	from   string    // control address that answered
	sent   time.Time // send time of the attempt that was answered
	at     time.Time
}

// call tries a call at one machine after the other until it has a definite answer; it reports false if ctx ended first.
func (o *scheduleOperator) call(ctx context.Context, method, path string, base int, body []byte) (callResult, bool) {
	pause := 10 * time.Millisecond
	for ctx.Err() == nil {
		ctls := o.run.controls()
		a, err := o.attempt(ctx, method, "http://"+ctls[o.rng.IntN(len(ctls))]+path, base, body)
		lost := o.rng.Float64() < o.run.s.lossy
		if err == nil && !lost && isDefinite(method, a.status) {
			return a, true
		}
		o.pause(ctx, pause)
		pause = min(2*pause, 200*time.Millisecond)
	}
	return callResult{}, false
}

// isDefinite reports whether an answer ends a call. A 404 to a read does: if the operator knows of a configuration, the
// 404 is a finding.
func isDefinite(method string, status int) bool {
	switch status {
	case http.StatusOK, http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed,
		http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	case http.StatusNotFound:
		return method == http.MethodGet
	}
	return false
}

// attempt makes one call and follows up to two redirects by 307.
func (o *scheduleOperator) attempt(ctx context.Context, method, to string, base int, body []byte) (callResult, error) {
	sent := time.Now()
	for hop := 0; ; hop++ {
		req, err := http.NewRequestWithContext(ctx, method, to, bytes.NewReader(body))
		if err != nil {
			return callResult{}, err
		}
		if method == http.MethodPost {
			req.Header.Set(simulation.HeaderBaseVersion, strconv.Itoa(base))
		}
		resp, err := o.http.Do(req)
		if err != nil {
			return callResult{}, err
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return callResult{}, err
		}
		if resp.StatusCode == http.StatusTemporaryRedirect && hop < 2 {
			to = resp.Header.Get("Location")
			continue
		}
		from, err := url.Parse(to)
		if err != nil {
			return callResult{}, err
		}
		return callResult{resp.StatusCode, got, from.Host, sent, time.Now()}, nil
	}
}

// document returns the complete configuration after some changes.
func document(changes []operatorChange) object {
	doc := (&fleet{}).configuration(uint64(changes[len(changes)-1].version))
	routes := doc["routing"].(list)
	for _, c := range changes {
		routes = append(routes, changeRoute(c.routeName()))
	}
	doc["routing"] = routes
	return doc
}

// body returns the path and body of a call that submits a change on top of those known.
func (o *scheduleOperator) body(next operatorChange, whole bool) (path string, body []byte) {
	path = simulation.PathUpdate
	doc := object{"ver": next.version, "upsert": object{"routing": list{changeRoute(next.routeName())}}}
	if whole {
		path, doc = simulation.PathReplace, document(append(o.known[:len(o.known):len(o.known)], next))
	}
	body, err := json.Marshal(doc)
	if err != nil {
		panic(err) // impossible: strings and numbers only
	}
	return path, body
}

// change submits a new change on top of the configuration that this operator knows.
func (o *scheduleOperator) change(ctx context.Context) {
	o.count++
	base := o.known[len(o.known)-1].version
	next := operatorChange{base, base + 1 + o.rng.IntN(2), fmt.Sprintf("%d.%d", o.id, o.count)}
	path, body := o.body(next, o.rng.IntN(5) == 0)
	o.run.history.recordSent(next, path, body)
	began := o.run.sinceBegin()
	a, ok := o.call(ctx, http.MethodPost, path, base, body)
	op := porcupine.Operation{
		ClientId: o.id,
		Input:    operatorInput{change: next},
		Call:     began,
		Output:   operatorOutput{},
		Return:   math.MaxInt64,
	}
	if !ok {
		o.run.history.add(op)
		return
	}
	op.Return = o.run.sinceBegin()
	if a.status == http.StatusOK {
		op.Output = operatorOutput{verdict: accepted}
		o.run.history.add(op)
		o.run.history.recordAck(next, a)
		o.known = append(o.known[:len(o.known):len(o.known)], next)
		o.acknowledged = append(o.acknowledged, next)
		return
	}
	op.Output = operatorOutput{verdict: rejected}
	o.run.history.add(op)
	o.run.history.recordRefusal(next)
	o.refused = append(o.refused, next)
	o.show(ctx)
}

// resend sends an earlier change again, unchanged.
func (o *scheduleOperator) resend(ctx context.Context) {
	all, was := o.acknowledged, accepted
	if len(all) == 0 || len(o.refused) > 0 && o.rng.IntN(4) == 0 {
		all, was = o.refused, rejected
	}
	one := all[o.rng.IntN(len(all))]
	if o.rng.IntN(2) == 0 {
		one = all[0] // the oldest
	}
	path, body := o.run.history.storedCall(one)
	since := o.run.history.countAcksAfter(one)
	bounded, cancel := context.WithTimeout(ctx, resendTimeout)
	defer cancel()
	a, ok := o.call(bounded, http.MethodPost, path, one.base, body)
	if !ok {
		o.run.history.countUnanswered()
		return
	}
	o.run.history.checkResend(one, was, a.status, since)
}

// show reads the newest configuration.
func (o *scheduleOperator) show(ctx context.Context) {
	began := o.run.sinceBegin()
	a, ok := o.call(ctx, http.MethodGet, simulation.PathShow, 0, nil)
	if !ok {
		return // a read without an answer has no effect on the history
	}
	out := operatorOutput{verdict: shown}
	if a.status == http.StatusOK {
		changes, err := o.run.history.parseShown(a.body)
		if err != nil {
			o.run.reportBreach("%s showed a configuration that nobody made: %v", a.from, err)
			return
		}
		o.known, out.shown = changes, changes[len(changes)-1]
	}
	o.run.history.add(porcupine.Operation{
		ClientId: o.id,
		Input:    operatorInput{show: true},
		Call:     began,
		Output:   out,
		Return:   o.run.sinceBegin(),
	})
}
