package agent

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/hearsay"
	"molepaddle/internal/decide/members"
	"molepaddle/internal/decide/orders"
	"molepaddle/internal/decide/work"
	"molepaddle/internal/process/operator"
	"molepaddle/internal/process/seat"
	"molepaddle/internal/protocol/peers"
	"molepaddle/internal/protocol/roster"
)

// maintenance is the agent's part in taking machines out for maintenance: the servers that it excludes from balancing,
// and its seat in the council. The fields from peers on belong to the goroutine that calls heartbeat.
type maintenance struct {
	agent      *Agent
	set        *operator.Work
	seat       *seat.Seat
	exclusions *orders.Agent
	ctx        context.Context // its end stops the seat
	end        context.CancelFunc
	// machineOf maps the address of a server's host to its machine. It does not change.
	machineOf map[cluster.Addr]string

	runOnce      sync.Once
	peers        *peers.Peers
	excluded     []cluster.Addr
	lastReason   string // why the last exclusion list was not fully applied
	evacuated    bool   // the agent has evacuated because its machine is excluded
	periods      int
	lastCount    int64
	lastMeasured time.Time
	rate         float64
	reporter     hearsay.Reporter
	peakRate     work.Peak // used only by the goroutine of the seat
}

// ratePeriods is the number of periods over which the request rate is measured.
const ratePeriods = 10

func newMaintenance(a *Agent, w *operator.Work, p *operator.Peers) *maintenance {
	m := &maintenance{agent: a, set: w, machineOf: map[cluster.Addr]string{}, lastMeasured: time.Now()}
	m.ctx, m.end = context.WithCancel(context.Background())
	m.exclusions, _ = orders.New(p.Machine, w.MachineServers()) // validated with the file
	for _, place := range w.MachineServers() {
		for _, s := range place.Servers {
			m.machineOf[s] = place.Name
		}
	}
	return m
}

// openSeat creates the agent's seat in the council.
func (w *maintenance) openSeat(p *peers.Peers, seed uint64, log *slog.Logger) (err error) {
	w.peers = p
	w.seat, err = seat.New(seat.Options{
		Name:         p.Name(),
		Folder:       w.set.Folder,
		Seats:        w.set.Seats,
		ReplaceAfter: time.Duration(w.set.ReplaceAfter),
		Tick:         p.Period() / 5,
		Seed:         seed ^ uint64(time.Now().UnixNano()),
		Fleet:        p,
		Observe:      w.observe,
		Log:          log,
	})
	return err
}

// ExcludeServers excludes servers from balancing, by their hosts, as the council's published list does. Tests call it
// directly.
func (a *Agent) ExcludeServers(hosts ...string) {
	var servers []cluster.Addr
	for _, h := range hosts {
		servers = append(servers, roster.AddrOf(h))
	}
	a.core.Exclude(servers)
}

// run runs the seat until stop, which waits for it to return. Only the first call has an effect, and none after
// stop.
func (w *maintenance) run() { w.runOnce.Do(func() { w.seat.Run(w.ctx) }) }

func (w *maintenance) stop() {
	w.end()
	w.run()
}

func (w *maintenance) receive(from members.ID, word peers.Word) { w.seat.Receive(from, word) }

// heartbeat runs once a period. It applies the exclusion lists that the council publishes, and reports the result
// and the agent's request rate to its peers.
func (w *maintenance) heartbeat() {
	view, _ := w.peers.View()
	if w.exclusions.Update(orders.PublishedLists(&view)) {
		w.agent.log.Info("work: machines excluded by the council's list", "machines", w.exclusions.ExcludedMachines())
	}
	known := w.agent.core.Endpoints()
	v := w.exclusions.Apply(known.List.Servers)
	if !slices.Equal(v.Servers, w.excluded) {
		w.excluded = v.Servers
		w.agent.core.Exclude(v.Servers) // applied when Exclude returns
	}
	if v.Reason != w.lastReason {
		if w.lastReason = v.Reason; v.Reason != "" {
			w.agent.log.Warn("work: the council's list is not fully applied", "why", v.Reason)
		}
	}
	switch ownExcluded := w.exclusions.OwnExcluded(); {
	case ownExcluded && !w.evacuated && !w.agent.lifecycle.Evacuated():
		w.evacuated = w.agent.lifecycle.Evacuate() == nil
		w.agent.log.Info("work: this machine is excluded; the agent evacuates")
	case !ownExcluded && w.evacuated:
		w.evacuated = false
		_ = w.agent.lifecycle.Rejoin() // a process that ends cannot rejoin
		w.agent.log.Info("work: this machine is no longer excluded; the agent has rejoined")
	}
	if w.periods++; w.periods%ratePeriods == 0 {
		count, now := w.agent.core.RequestCount(), time.Now()
		w.rate = roundRate(float64(count-w.lastCount) / now.Sub(w.lastMeasured).Seconds())
		w.lastCount, w.lastMeasured = count, now
	}
	rate, silent := w.rate, w.reporter.Report(known.Unresponsive, view.SelfSuspicion != "")
	w.peers.Set(func(i *members.Info) {
		i.Rate, i.Silent = rate, silent
		if v.Version != 0 {
			i.Stopped = v.Version
		}
	})
}

// roundRate rounds a rate to the nearest eighth of its power of two, so that only significant changes are sent to the
// fleet. A rate below one in ten seconds becomes 0.
func roundRate(rate float64) float64 {
	if rate < 0.1 {
		return 0
	}
	step := math.Exp2(math.Floor(math.Log2(rate)) - 3)
	return math.Round(rate/step) * step
}

// observe returns the agent's observation of servers and needs, for the member that leads.
func (w *maintenance) observe(view members.View) work.Observation {
	s := work.Observation{Bounds: w.set.Bounds()}
	for _, m := range w.set.Machines {
		s.Specs = append(s.Specs, work.MachineSpec{Name: m.Name, Zone: m.Zone, Kind: m.Kind, Capacity: m.Capacity})
	}
	known, reports := w.agent.core.Endpoints(), hearsay.Collect(&view)
	now := float64(time.Now().UnixMilli())
	for _, v := range known.List.Servers {
		machine := w.machineOf[v.Server]
		if machine == "" {
			continue
		}
		server := work.Server{
			Machine:      machine,
			Capacity:     v.Weight,
			Ready:        v.Health == cluster.Ready,
			Unresponsive: slices.Contains(known.Unresponsive, v.Server) || reports.Unresponsive(v.Server),
			Warmth:       1,
		}
		if !(server.Capacity > 0 && server.Capacity < 1e9) {
			server.Capacity = 1
		}
		if v.SinceMs > 0 && known.SlowStartMs > 0 {
			server.Warmth = (now - v.SinceMs) / known.SlowStartMs
		}
		s.Servers = append(s.Servers, server)
	}
	total := 0.0
	for _, n := range w.set.Needs {
		s.Needs = append(s.Needs, work.Need(n))
		total += n.Amount
	}
	if w.set.Measured {
		if more := w.peakRate.Add(time.Now().Unix(), work.RequestRate(&view)) - total; more > 0 {
			s.Needs = append(s.Needs, work.Need{Class: "measured", Amount: more})
		}
	}
	return s
}

// councilTimeout is how long a call to the management address waits for the council. The caller repeats it after
// that.
const councilTimeout = 1500 * time.Millisecond

// serve handles a call to the management address.
func (w *maintenance) serve(rw http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	var c seat.Call
	if err == nil {
		c, err = seat.ReadCall(text)
	}
	if err == nil && c.Operation == seat.ProposePromise {
		err = errors.New("do: hold: the agents assign holders among themselves")
	}
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), councilTimeout)
	defer cancel()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(w.seat.Call(ctx, c))
}

// CallWork makes a call to the management address of an agent, and repeats it under the same token until it succeeds,
// is declined, or the context ends. A seat.Declined has the reason of a rejection. After any other error the call may
// have taken effect, or may do so later.
func CallWork(ctx context.Context, address string, c seat.Call) (*seat.Report, error) {
	text, err := json.Marshal(&c)
	if err != nil {
		return nil, err
	}
	again := time.NewTicker(50 * time.Millisecond)
	defer again.Stop()
	var councilErr error // the council's last error, which tells more than a time-out of the connection
	for {
		a, err := callOnce(ctx, address, text)
		if err == nil && a.Error == "" {
			return a.Report, nil
		}
		if err == nil {
			if !a.Retryable {
				return nil, &seat.Rejected{Reason: a.Error}
			}
			err = errors.New(a.Error)
			councilErr = err
		} else if !errors.Is(err, errUnreachable) {
			return nil, err
		}
		select {
		case <-again.C:
		case <-ctx.Done():
			return nil, cmp.Or(councilErr, err)
		}
	}
}

// errUnreachable is wrapped by errors of calls to a management address that does not answer.
var errUnreachable = errors.New("the management address does not answer")

func callOnce(ctx context.Context, address string, text []byte) (a seat.Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/api/work", bytes.NewReader(text))
	if err != nil {
		return a, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return a, json.NewDecoder(io.LimitReader(resp.Body, peers.MaxWord)).Decode(&a)
	case http.StatusNotFound:
		return a, errors.New("the agent takes no part in maintenance: its operator's file has no [work]")
	}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 1000))
	return a, fmt.Errorf("the management address answers %s: %s", resp.Status, bytes.TrimSpace(body))
}
