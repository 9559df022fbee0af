package live

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/protocol/roster"
	"molepaddle/internal/rig/lab/law"
	"molepaddle/internal/rig/lab/station"
	"molepaddle/internal/rig/lab/timeline"
	"molepaddle/internal/rig/standin"
)

// connUse records whether a connection has carried a request.
type connUse struct{ unused bool }

type connUseKey struct{}

func (w *world) newServer(kind, zone int, name string, born float64) (*server, error) {
	v := &server{num: len(w.servers), name: name, kind: kind, zone: zone, health: cluster.Ready, notReadySince: -1}
	v.st = station.New(&w.s.Servers[kind], &w.s.Rules, law.Seed(w.o.Seed, name), born)
	if err := w.listen(v, "127.0.0.1:0"); err != nil {
		return nil, err
	}
	w.servers = append(w.servers, v)
	w.byDial[v.dial], w.byAddr[roster.AddrOf(name)] = v, v
	return v, nil
}

// listen starts a server's process on an address.
func (w *world) listen(v *server, at string) error {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	v.dial = ln.Addr().String()
	v.up, v.silent, v.conns, v.processEnded = true, false, map[net.Conn]bool{}, make(chan struct{})
	v.http = &http.Server{
		Handler:           http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(v, rw, r) }),
		ReadHeaderTimeout: time.Minute,
		IdleTimeout:       time.Duration(w.s.Servers[v.kind].IdleClose),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connUseKey{}, &connUse{true})
		},
	}
	conns := v.conns
	v.http.ConnState = func(c net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch state {
		case http.StateNew:
			v.connects++
			conns[c] = true
			v.maxConns = max(v.maxConns, len(conns))
			if most := w.s.Servers[v.kind].Connections; most > 0 && len(conns) > most {
				c.Close()
			}
		case http.StateClosed:
			delete(conns, c)
		}
	}
	go v.http.Serve(ln)
	return nil
}

func (w *world) rosterEntry(v *server) standin.Host {
	h := standin.Host{Host: v.name, Dial: v.dial, Site: w.s.Zones[v.zone], Class: w.s.Servers[v.kind].Kind, Block: v.num / 4, Share: 1,
		Health: map[cluster.Health]string{cluster.Ready: "ready", cluster.Draining: "draining", cluster.Gone: "gone"}[v.health]}
	if w.s.Agent.Weights == "nominal" {
		h.Share = float64(w.s.Servers[v.kind].Slots)
	}
	if b := v.st.Born(); b >= 0 {
		h.BornMs = float64(w.start.Add(law.Ms(b)).UnixMicro()) / 1000
	}
	return h
}

// networkDelay returns the delay of a message between an agent and a server; the lock must be held.
func (w *world) networkDelay(zone int, v *server) float64 {
	t := w.paths.Draw(zone, v.zone, w.rng)
	now := w.now()
	for _, s := range w.stalls {
		if (s.a == zone && s.b == v.zone || s.a == v.zone && s.b == zone) && now+t < s.until {
			t = s.until - now
		}
	}
	return t
}

// sleep waits, and reports whether the request was not cancelled meanwhile.
func sleep(ctx context.Context, ms float64) bool {
	if ms <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(law.Ms(ms))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serve handles a request at a server.
func (w *world) serve(v *server, rw http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20)); err != nil {
		return // the request body is incomplete
	}
	id := r.Header.Get("Request-Id")
	w.mu.Lock()
	t := w.requests[id]
	if t == nil {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusNotFound) // unknown request
		return
	}
	zone := w.zones[t.agent]
	now := w.now()
	wait := w.networkDelay(zone, v)
	if f, _ := r.Context().Value(connUseKey{}).(*connUse); f != nil && f.unused {
		f.unused = false
		wait += w.networkDelay(zone, v) + w.networkDelay(zone, v) + w.s.Servers[v.kind].Connect.Ms()
	}
	from := w.agentByConn[r.RemoteAddr] // empty: the agent is a process
	if from == "" {
		from = r.RemoteAddr
	}
	t.Note(now, "by "+from, "")
	w.rec.AttemptSent(&t.Request, now, w.drainKnownSince(v, t, now), v.name, zone != v.zone)
	w.rec.AttemptEnded(&t.Request) // attempts at once are checked below
	o := &attempt{v: v}
	for _, before := range t.attempts {
		// A server notices the end of a connection slightly later than its client.
		if !before.finished {
			w.after(slack, func() {
				if !before.finished {
					w.rec.RecordViolation(w.now(), "two attempts at once", &t.Request)
				}
			})
		}
	}
	t.attempts = append(t.attempts, o)
	v.attempts = append(slices.DeleteFunc(v.attempts, func(o *attempt) bool { return o.finished }), o)
	v.inTransit++
	hush := v.processEnded
	w.mu.Unlock()
	defer func() { // also after holdUntilClosed breaks the connection
		w.mu.Lock()
		o.finished = true
		w.mu.Unlock()
	}()
	sleep(r.Context(), wait) // a cancelled request still arrives
	w.mu.Lock()
	v.inTransit--
	if v.silent || hush != v.processEnded {
		w.mu.Unlock()
		w.holdUntilClosed(r, hush)
	}
	status, job, done := w.arrive(v, t)
	w.mu.Unlock()
	if done != nil {
		select {
		case <-done:
		case <-hush:
		case <-r.Context().Done():
			w.mu.Lock()
			if next, _ := job.st.Cancel(w.now(), &job.Job); next != nil {
				w.work(next)
			}
			w.mu.Unlock()
			return
		}
	}
	w.mu.Lock()
	if v.silent || hush != v.processEnded {
		w.mu.Unlock()
		w.holdUntilClosed(r, hush)
	}
	wait = w.networkDelay(zone, v)
	report, told := v.st.Load(w.now(), v.reportDelay)
	w.mu.Unlock()
	alive := sleep(r.Context(), wait)
	w.mu.Lock()
	silent := v.silent || hush != v.processEnded
	w.mu.Unlock()
	if silent {
		w.holdUntilClosed(r, hush)
	}
	if !alive {
		return
	}
	if told {
		rw.Header().Set("Server-Load", fmt.Sprintf("TEXT qps=%.2f, util=%.3f, eps=%.2f", report.QPS, report.Util, report.EPS))
	}
	switch status {
	case station.Full:
		rw.Header().Set("Not-Started", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case station.Failed:
		rw.WriteHeader(http.StatusInternalServerError)
	default:
		fmt.Fprintf(rw, "%s %s", id, v.name)
	}
}

// drainKnownSince returns the time from which the agent of a request must have known that a server is not
// ready; below 0: it need not know. The roster notifies its watchers at once, but an agent that has just
// started may not watch yet. On sockets the time is later by slack.
func (w *world) drainKnownSince(v *server, t *clientRequest, now float64) float64 {
	if v.notReadySince < 0 || w.agents[t.agent] == nil || now-w.agents[t.agent].since < w.s.Rules.AskWithin.Ms()/8+1000 {
		return -1
	}
	return v.notReadySince + slack
}

// holdUntilClosed blocks a request at a silent server until its client gives up or the machine restarts,
// and then breaks the connection. It does not return.
func (w *world) holdUntilClosed(r *http.Request, hush chan struct{}) {
	select {
	case <-hush:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// job is a request at a station.
type job struct {
	station.Job
	st   *station.Station
	t    *clientRequest
	v    *server
	done chan struct{}
}

// arrive passes a request to its station. The returned channel is closed when the job is done; it is nil
// if the job was rejected or failed.
func (w *world) arrive(v *server, t *clientRequest) (station.Verdict, *job, chan struct{}) {
	now := w.now()
	p := &w.plan[t.Ask]
	j := &job{st: v.st, t: t, v: v, done: make(chan struct{})}
	j.Job = station.Job{ID: uint64(t.Ask)<<8 | uint64(t.number), Work: float64(p.Work), Key: p.Key, Tag: j}
	fell := v.st.Collapsed()
	verdict := v.st.Arrive(now, &j.Job)
	if !fell && v.st.Collapsed() {
		v.fell = true
		w.rec.ServerCollapsed(now, v.name)
	}
	switch verdict {
	case station.Started:
		w.work(&j.Job)
	case station.Failed:
		w.rec.WorkStarted(&t.Request, now, v.name)
		return verdict, j, nil
	case station.Full:
		return verdict, j, nil
	}
	return verdict, j, j.done
}

// work schedules the end of a job that a station has started.
func (w *world) work(sj *station.Job) {
	j := sj.Tag.(*job)
	now := w.now()
	w.rec.WorkStarted(&j.t.Request, now, j.v.name)
	w.after(j.Until-now, func() {
		if !j.Serving() {
			return
		}
		now := w.now()
		_ = w.timerDelay.RecordValue(min(max(int64(1000*(now-j.Until)), 1), 60e6))
		next := j.st.End(now, &j.Job)
		close(j.done)
		if next != nil {
			w.work(next)
		}
	})
}

// dial connects for an in-process agent; a connect to a silent machine hangs.
func (w *world) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	w.mu.Lock()
	v := w.byDial[addr]
	hangs := v != nil && v.silent
	w.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, network, addr)
}

// ---- timeline ----

// timelineHost implements timeline.Host; the lock must be held.
type timelineHost struct{ *world }

func (h timelineHost) Now() float64               { return h.now() }
func (h timelineHost) After(d float64, do func()) { h.after(d, do) }
func (h timelineHost) Agents() int                { return len(h.agents) }

func (h timelineHost) Servers() []timeline.Server {
	all := make([]timeline.Server, len(h.servers))
	for i, v := range h.servers {
		all[i] = timeline.Server{Name: v.name, Kind: h.s.Servers[v.kind].Kind, Zone: h.s.Zones[v.zone], Up: v.up, Gone: v.removed,
			Busy: v.st.Jobs() > 0 || v.inTransit > 0}
	}
	return all
}

func (h timelineHost) StopServer(n int, silent bool) {
	v := h.servers[n]
	v.st.Kill(h.now())
	v.pastWork += v.st.Worked
	v.st.Worked = 0
	v.peak = max(v.peak, v.st.Peak)
	v.up, v.silent = false, silent
	if !silent {
		h.breakAll(v)
	}
}

// breakAll closes a server's listener and resets its connections.
func (w *world) breakAll(v *server) {
	for _, o := range v.attempts {
		o.finished = true
	}
	v.attempts = nil
	close(v.processEnded)
	v.processEnded = make(chan struct{})
	for c := range v.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0) // a reset, as when a process is killed
		}
	}
	go v.http.Close()
}

func (h timelineHost) RestartServer(n int) {
	v := h.servers[n]
	if v.silent {
		h.breakAll(v)
	}
	v.st = station.New(&h.s.Servers[v.kind], &h.s.Rules, law.Seed(h.o.Seed, fmt.Sprint(v.name, n)), h.now())
	h.listenAgain(v, 0)
}

// listenAgain listens at the old address again as soon as it is free.
func (w *world) listenAgain(v *server, tries int) {
	if err := w.listen(v, v.dial); err != nil && tries < 200 {
		w.after(5, func() { w.listenAgain(v, tries+1) })
	}
}

func (h timelineHost) PublishHealth(n int, health cluster.Health, after float64) {
	v := h.servers[n]
	v.health = health
	entry := h.rosterEntry(v)
	h.after(after, func() {
		h.roster.Set(entry)
		switch {
		case health == cluster.Ready:
			v.notReadySince = -1
		case v.notReadySince < 0 && h.now() >= h.rosterDownUntil: // otherwise watchers are notified at an unknown time after the roster is back
			v.notReadySince = h.now()
		}
	})
}

func (h timelineHost) ReplaceServer(n int, notice float64) {
	v := h.servers[n]
	if v.up {
		h.StopServer(n, false)
	}
	v.removed = true
	h.PublishHealth(n, cluster.Gone, 0)
	next, err := h.newServer(v.kind, v.zone, v.name+"'", h.now())
	if err != nil {
		return // no free port: the server is not replaced
	}
	next.busy = make([]float64, len(v.busy))
	h.PublishHealth(next.num, cluster.Ready, notice)
}

func (h timelineHost) AddFault(n int, f station.Fault) { h.servers[n].st.Add(f) }
func (h timelineHost) DelayReports(n int, ms float64)  { h.servers[n].reportDelay = ms }

func (h timelineHost) StallLink(a, b int, until float64) {
	h.stalls = append(h.stalls, stall{a, b, until})
	h.after(until-h.now(), func() {
		h.stalls = slices.DeleteFunc(h.stalls, func(s stall) bool { return s.until <= h.now() })
	})
}

func (h timelineHost) RosterDown(until float64) {
	h.roster.Down(true)
	h.rosterDownUntil = max(h.rosterDownUntil, until)
	h.after(until-h.now(), func() { h.roster.Down(false) })
}

// RestartAgent ends an agent and starts it again at its address. Restarts of the same agent are
// serialized.
func (h timelineHost) RestartAgent(i int, killed bool) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		h.restartLocks[i].Lock()
		defer h.restartLocks[i].Unlock()
		h.mu.Lock()
		a := h.agents[i]
		how := "is told to end"
		if killed {
			how = "is killed"
			h.kills[i]++
			a.mu.Lock()
			a.killed = true
			a.mu.Unlock()
		}
		h.noteAgent(a, how)
		h.mu.Unlock()
		if killed {
			a.kill()
		} else {
			a.stop()
		}
		h.mu.Lock()
		h.noteAgent(a, "has ended")
		h.mu.Unlock()
		if err := h.startAgent(i); err != nil && h.ctx.Err() == nil {
			h.mu.Lock()
			h.rec.RecordViolation(h.now(), "an agent did not start again: "+strings.TrimSpace(err.Error()), nil)
			h.mu.Unlock()
		}
	}()
}
