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

// workPart is the agent's part in taking machines out for work: what it leaves alone, and its seat. What
// stands below seat belongs to the goroutine that beats.
type workPart struct {
	a    *Agent
	set  *operator.Work
	seat *seat.Seat
	ours *orders.Agent
	ctx  context.Context // ends the seat
	end  context.CancelFunc
	// of is which machine a server is on, by its host's address. It does not change.
	of map[cluster.Addr]string

	running sync.Once
	peers   *peers.Peers
	alone   []cluster.Addr
	said    string // why the last list was not acknowledged
	left    bool   // the agent has evacuated because its machine is to be left
	periods int
	asked   int64
	at      time.Time
	rate    float64
	look    hearsay.Reporter
	peak    work.Peak // the seat's
}

// rateOver is the periods over which the rate of requests is taken.
const rateOver = 10

func newWork(a *Agent, w *operator.Work, p *operator.Peers) *workPart {
	part := &workPart{a: a, set: w, of: map[cluster.Addr]string{}, at: time.Now()}
	part.ctx, part.end = context.WithCancel(context.Background())
	part.ours, _ = orders.New(p.Machine, w.Places()) // validated with the file
	for _, place := range w.Places() {
		for _, s := range place.Servers {
			part.of[s] = place.Name
		}
	}
	return part
}

// sit makes the seat.
func (w *workPart) sit(p *peers.Peers, seed uint64, log *slog.Logger) (err error) {
	w.peers = p
	w.seat, err = seat.New(seat.Options{
		Name:         p.Name(),
		Folder:       w.set.Folder,
		Seats:        w.set.Seats,
		ReplaceAfter: time.Duration(w.set.ReplaceAfter),
		Tick:         p.Period() / 5,
		Seed:         seed ^ uint64(time.Now().UnixNano()),
		Fleet:        p,
		Observe:      w.sight,
		Log:          log,
	})
	return err
}

// LeaveAlone has an agent leave servers alone, by their hosts, as the council's word does; tests say it themselves.
func (a *Agent) LeaveAlone(hosts ...string) {
	var servers []cluster.Addr
	for _, h := range hosts {
		servers = append(servers, roster.AddrOf(h))
	}
	a.core.Exclude(servers)
}

// run runs the seat until stop, which waits for it. Another run than the first does nothing, nor does
// one after stop.
func (w *workPart) run() { w.running.Do(func() { w.seat.Run(w.ctx) }) }

func (w *workPart) stop() {
	w.end()
	w.run()
}

func (w *workPart) hear(from members.ID, word peers.Word) { w.seat.Receive(from, word) }

// heartbeat is once a period: what the council has everybody do is done here, and said.
func (w *workPart) heartbeat() {
	view, _ := w.peers.View()
	if w.ours.Update(orders.PublishedLists(&view)) {
		w.a.log.Info("work: left alone by the council's word", "machines", w.ours.ExcludedMachines())
	}
	known := w.a.core.Endpoints()
	v := w.ours.Apply(known.List.Servers)
	if !slices.Equal(v.Servers, w.alone) {
		w.alone = v.Servers
		w.a.core.Exclude(v.Servers) // in force when it returns
	}
	if v.Reason != w.said {
		if w.said = v.Reason; v.Reason != "" {
			w.a.log.Warn("work: this agent does not do all that the council says", "why", v.Reason)
		}
	}
	switch leaves := w.ours.OwnExcluded(); {
	case leaves && !w.left && !w.a.life.Evacuated():
		w.left = w.a.life.Evacuate() == nil
		w.a.log.Info("work: this machine is to be left; clients are sent away")
	case !leaves && w.left:
		w.left = false
		_ = w.a.life.Rejoin() // one that ends does not come back
		w.a.log.Info("work: this machine is at work again")
	}
	if w.periods++; w.periods%rateOver == 0 {
		asked, now := w.a.core.RequestCount(), time.Now()
		w.rate = coarse(float64(asked-w.asked) / now.Sub(w.at).Seconds())
		w.asked, w.at = asked, now
	}
	rate, silent := w.rate, w.look.Report(known.Unresponsive, view.SelfSuspicion != "")
	w.peers.Set(func(i *members.Info) {
		i.Rate, i.Silent = rate, silent
		if v.Version != 0 {
			i.Stopped = v.Version
		}
	})
}

// coarse is a rate to the nearest eighth of its power of two, so that the fleet hears of changes that
// matter; under one in ten seconds it is none.
func coarse(rate float64) float64 {
	if rate < 0.1 {
		return 0
	}
	step := math.Exp2(math.Floor(math.Log2(rate)) - 3)
	return math.Round(rate/step) * step
}

// sight is what the agent sees of servers and needs, for the member that leads.
func (w *workPart) sight(view members.View) work.Observation {
	s := work.Observation{Bounds: w.set.Bounds()}
	for _, m := range w.set.Machines {
		s.Specs = append(s.Specs, work.MachineSpec{Name: m.Name, Zone: m.Zone, Kind: m.Kind, Capacity: m.Capacity})
	}
	known, heard := w.a.core.Endpoints(), hearsay.Collect(&view)
	now := float64(time.Now().UnixMilli())
	for _, v := range known.List.Servers {
		machine := w.of[v.Server]
		if machine == "" {
			continue
		}
		one := work.Server{
			Machine:      machine,
			Capacity:     v.Weight,
			Ready:        v.Health == cluster.Ready,
			Unresponsive: slices.Contains(known.Unresponsive, v.Server) || heard.Unresponsive(v.Server),
			Warmth:       1,
		}
		if !(one.Capacity > 0 && one.Capacity < 1e9) {
			one.Capacity = 1
		}
		if v.SinceMs > 0 && known.SlowStartMs > 0 {
			one.Warmth = (now - v.SinceMs) / known.SlowStartMs
		}
		s.Servers = append(s.Servers, one)
	}
	total := 0.0
	for _, n := range w.set.Needs {
		s.Needs = append(s.Needs, work.Need(n))
		total += n.Amount
	}
	if w.set.Measured {
		if more := w.peak.Add(time.Now().Unix(), work.RequestRate(&view)) - total; more > 0 {
			s.Needs = append(s.Needs, work.Need{Class: "measured", Amount: more})
		}
	}
	return s
}

// answerWithin is how long a call at the door waits for the council; the caller makes it again.
const answerWithin = 1500 * time.Millisecond

// serve answers a call at the operators' door.
func (w *workPart) serve(rw http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	var c seat.Call
	if err == nil {
		c, err = seat.ReadCall(text)
	}
	if err == nil && c.Operation == seat.ProposePromise {
		err = errors.New("do: who holds for whom is the agents' own to settle")
	}
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(w.seat.Call(ctx, c))
}

// AskWork makes a call at the door of an agent, under one token until the context ends or something has
// come of it. A seat.Declined says why it was turned down; after any other error it may have counted, or may yet.
func AskWork(ctx context.Context, door string, c seat.Call) (*seat.Report, error) {
	text, err := json.Marshal(&c)
	if err != nil {
		return nil, err
	}
	again := time.NewTicker(50 * time.Millisecond)
	defer again.Stop()
	var last error // the council's word, which says more than a door that is asked too late
	for {
		a, err := askOnce(ctx, door, text)
		if err == nil && a.Error == "" {
			return a.Report, nil
		}
		if err == nil {
			if !a.Retryable {
				return nil, &seat.Rejected{Reason: a.Error}
			}
			err = errors.New(a.Error)
			last = err
		} else if !errors.Is(err, errDoor) {
			return nil, err
		}
		select {
		case <-again.C:
		case <-ctx.Done():
			return nil, cmp.Or(last, err)
		}
	}
}

// errDoor is wrapped where nobody answers at a door.
var errDoor = errors.New("the door does not answer")

func askOnce(ctx context.Context, door string, text []byte) (a seat.Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+door+"/api/work", bytes.NewReader(text))
	if err != nil {
		return a, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, fmt.Errorf("%w: %w", errDoor, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return a, json.NewDecoder(io.LimitReader(resp.Body, peers.MaxWord)).Decode(&a)
	case http.StatusNotFound:
		return a, errors.New("the agent takes no part in this: its operator's file has no [work]")
	}
	said, _ := io.ReadAll(io.LimitReader(resp.Body, 1000))
	return a, fmt.Errorf("the door answers %s: %s", resp.Status, bytes.TrimSpace(said))
}
