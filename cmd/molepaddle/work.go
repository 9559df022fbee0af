package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"molepaddle/internal/decide/work"
	"molepaddle/internal/process/agent"
	"molepaddle/internal/process/seat"
)

// workFlags are the flags that the work commands share.
type workFlags struct {
	out        io.Writer
	json       bool
	management string
	within     time.Duration
}

// call sends a call to the agent and returns the council's report after it.
func (w *workFlags) call(ctx context.Context, c seat.Call) (*seat.Report, error) {
	door, err := managementAddress(w.management)
	if err != nil {
		return nil, err
	}
	var token [8]byte
	if _, err := rand.Read(token[:]); err != nil {
		return nil, err
	}
	c.Token = binary.BigEndian.Uint64(token[:]) | 1
	ctx, cancel := context.WithTimeout(ctx, w.within)
	defer cancel()
	r, err := agent.CallWork(ctx, door, c)
	if err != nil {
		return nil, fmt.Errorf("work: %w", err)
	}
	return r, nil
}

// show prints a report with print, or as JSON.
func (w *workFlags) show(r *seat.Report, print func(r *seat.Report)) error {
	if w.json {
		return writeIndentedJSON(w.out, r)
	}
	print(r)
	return nil
}

// workCommand returns the command that requests machines to be taken out of service for maintenance.
func workCommand(out io.Writer) *cobra.Command {
	w := &workFlags{out: out}
	cmd := &cobra.Command{Use: "work", Short: "Take machines out for maintenance, in an order that the agents agree on", Args: checkArgs(noArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	cmd.PersistentFlags().BoolVar(&w.json, "json", false, "as JSON")
	cmd.PersistentFlags().StringVar(&w.management, "door", "", "management address of any agent; default: the one that EDGE_CONFIG or EDGE_MANAGEMENT names")
	cmd.PersistentFlags().DurationVar(&w.within, "within", 10*time.Second, "time limit for an answer")
	sub := func(use, short string, args cobra.PositionalArgs, do func(ctx context.Context, args []string) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: checkArgs(args), RunE: untilSignal(do)}
		cmd.AddCommand(c)
		return c
	}
	one := func(do seat.Operation) func(ctx context.Context, args []string) error {
		return func(ctx context.Context, args []string) error {
			c := seat.Call{Operation: do, ID: args[0]}
			if do == seat.Take {
				permit, err := strconv.ParseUint(args[1], 10, 64)
				if err != nil || permit == 0 {
					return usageError{fmt.Errorf("work take: %q is no permit's number", args[1])}
				}
				c.Permit = permit
			}
			r, err := w.call(ctx, c)
			if err != nil {
				return err
			}
			return w.show(r, func(r *seat.Report) { w.printReason(r, args[0]) })
		}
	}
	a := &requestFlags{}
	ask := sub("ask MACHINE", "Request a machine and print the id of the request", cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		id, r, err := w.ask(ctx, args[0], a)
		if err != nil {
			return err
		}
		return w.show(r, func(r *seat.Report) { fmt.Fprintln(out, id); w.printReason(r, id) })
	})
	a.flags(ask)
	sub("show", "Show requested, out and overdue machines, and the leader", noArgs, func(ctx context.Context, _ []string) error {
		r, err := w.call(ctx, seat.Call{Operation: seat.Show})
		if err != nil {
			return err
		}
		return w.show(r, w.printTable)
	})
	sub("plan", "Show which machines are expected to go out when, and together with which others", noArgs, func(ctx context.Context, _ []string) error {
		r, err := w.call(ctx, seat.Call{Operation: seat.Plan})
		if err != nil {
			return err
		}
		return w.show(r, w.printPlan)
	})
	sub("why ID", "Show the state of a request, and the reason", cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		r, err := w.call(ctx, seat.Call{Operation: seat.Show})
		if err != nil {
			return err
		}
		if r.Find(args[0]) == nil {
			return fmt.Errorf("work: no request %q", args[0])
		}
		return w.show(r, func(r *seat.Report) { w.printReason(r, args[0]) })
	})
	sub("record", "Show the committed decisions, and the reason for their order", noArgs, func(ctx context.Context, _ []string) error {
		r, err := w.call(ctx, seat.Call{Operation: seat.Record})
		if err != nil {
			return err
		}
		return w.show(r, func(r *seat.Report) {
			for _, line := range r.Record {
				at, rest, _ := strings.Cut(line, " ")
				fmt.Fprintln(out, formatTime(at), rest)
			}
		})
	})
	sub("take ID PERMIT", "Take the machine out under its permit", cobra.ExactArgs(2), one(seat.Take))
	sub("done ID", "Report that the work is done and the machine is coming back", cobra.ExactArgs(1), one(seat.Complete))
	sub("cancel ID", "Cancel a request whose machine is not out", cobra.ExactArgs(1), one(seat.Cancel))
	sub("fail ID", "Report that the work failed; the machine counts as out until it is seen up", cobra.ExactArgs(1), one(seat.Fail))
	sub("found", "Make this agent the first member of a council; run it once, at one agent", noArgs, func(ctx context.Context, _ []string) error {
		r, err := w.call(ctx, seat.Call{Operation: seat.Bootstrap})
		if err != nil {
			return err
		}
		return w.show(r, w.printTable)
	})
	b := &requestFlags{}
	run := sub("run MACHINE -- COMMAND...", "Request a machine, wait for the permit, run a command, report how it ended", cobra.MinimumNArgs(2), func(ctx context.Context, args []string) error {
		return w.run(ctx, args[0], b, args[1:])
	})
	b.flags(run)
	return cmd
}

// requestFlags holds the flags of a request.
type requestFlags struct {
	id, by, why      string
	duration         time.Duration
	notBefore, dueBy string
	urgent           bool
}

func (a *requestFlags) flags(c *cobra.Command) {
	c.Flags().StringVar(&a.id, "id", "", "id of the request, for idempotent retries; default: a random one")
	c.Flags().StringVar(&a.by, "by", "", "who requests; default: the current user")
	c.Flags().StringVar(&a.why, "why", "", "reason of the request")
	c.Flags().DurationVar(&a.duration, "for", time.Hour, "duration of the work")
	c.Flags().StringVar(&a.notBefore, "not-before", "", "earliest start: a time (RFC 3339), or a duration from now")
	c.Flags().StringVar(&a.dueBy, "due-by", "", "latest end: a time (RFC 3339), or a duration from now")
	c.Flags().BoolVar(&a.urgent, "urgent", false, "go before all requests that are not urgent")
}

// parseTimeFlag parses a time flag into Unix seconds; an empty text is 0.
func parseTimeFlag(flag, text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(text); err == nil && d >= 0 {
		return time.Now().Add(d).Unix(), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil || at.Unix() <= 0 {
		return 0, usageError{fmt.Errorf("work: --%s: %q is not a time after 1970 (RFC 3339) or a duration of at least 0", flag, text)}
	}
	return at.Unix(), nil
}

func (w *workFlags) ask(ctx context.Context, machine string, a *requestFlags) (id string, r *seat.Report, err error) {
	if a.duration < time.Second {
		return "", nil, usageError{errors.New("work: --for: below the minimum of 1s")}
	}
	q := work.Ask{ID: a.id, Machine: machine, Seconds: int64(a.duration / time.Second), Urgent: a.urgent, Why: a.why, By: a.by}
	if q.NotBefore, err = parseTimeFlag("not-before", a.notBefore); err != nil {
		return "", nil, err
	}
	if q.DueBy, err = parseTimeFlag("due-by", a.dueBy); err != nil {
		return "", nil, err
	}
	if q.ID == "" {
		q.ID = fmt.Sprintf("%s-%s", machine, strings.ToLower(rand.Text()[:6]))
	}
	if q.By == "" {
		if u, err := user.Current(); err == nil {
			q.By = u.Username
		}
	}
	r, err = w.call(ctx, seat.Call{Operation: seat.Submit, Ask: &q})
	return q.ID, r, err
}

// run requests a machine, waits for its permit, runs a command, and reports how the command ended. If it is
// interrupted before the machine is out, it cancels the request; after that the machine stays out until
// the outcome is reported.
func (w *workFlags) run(ctx context.Context, machine string, a *requestFlags, command []string) error {
	id, r, err := w.ask(ctx, machine, a)
	if err != nil {
		return err
	}
	fmt.Fprintln(w.out, id)
	poll := time.NewTicker(250 * time.Millisecond)
	defer poll.Stop()
	last := ""
	for out := false; !out; {
		q := r.Find(id)
		switch {
		case q == nil || slices.Contains([]string{"cancelled", "failed", "done"}, q.Phase):
			return fmt.Errorf("work: %s will not go: %s", id, reasonOf(q))
		case q.Phase == "granted":
			var taken *seat.Report
			if taken, err = w.call(ctx, seat.Call{Operation: seat.Take, ID: id, Permit: q.Permit}); err == nil {
				r, out = taken, true
				continue
			}
			fmt.Fprintln(w.out, err) // the permit may have been withdrawn
		case q.Phase == "out": // the answer to an earlier take call was lost
			out = true
			continue
		case q.Why != last:
			last = q.Why
			fmt.Fprintln(w.out, last)
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			if _, err := w.call(context.WithoutCancel(ctx), seat.Call{Operation: seat.Cancel, ID: id}); err != nil {
				return fmt.Errorf("%s is not called off: %w", id, err)
			}
			fmt.Fprintln(w.out, id, "is called off")
			return context.Canceled
		}
		if next, err := w.call(ctx, seat.Call{Operation: seat.Show}); err == nil {
			r = next
		} else if ctx.Err() == nil {
			fmt.Fprintln(w.out, err)
		}
	}
	fmt.Fprintln(w.out, machine, "is out under permit", r.Find(id).Permit)
	cmd := exec.CommandContext(ctx, command[0], command[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, w.out, os.Stderr
	cmd.Env = append(os.Environ(), "WORK_ID="+id, "WORK_MACHINE="+machine)
	ran := cmd.Run()
	outcome, outcomeText := seat.Complete, "done"
	if ran != nil {
		outcome, outcomeText = seat.Fail, "failed"
	}
	if _, err := w.call(context.WithoutCancel(ctx), seat.Call{Operation: outcome, ID: id}); err != nil {
		return errors.Join(ran, fmt.Errorf("%s is still out; say 'molepaddle work %s %s': %w", machine, outcome, id, err))
	}
	fmt.Fprintln(w.out, id, outcomeText)
	if ran != nil {
		return fmt.Errorf("work: the command ended with %w; %s counts as out until it is seen up", ran, machine)
	}
	return nil
}

func reasonOf(q *seat.Request) string {
	if q == nil {
		return "it is not known any more"
	}
	return q.Why
}

// printHeader prints which agent the report comes from, the leader, and the age of the report.
func (w *workFlags) printHeader(r *seat.Report) {
	lead := "no leader is heard: nothing is granted"
	if r.Leader != "" {
		lead = r.Leader + " leads"
	}
	fmt.Fprintf(w.out, "%s of the council of %s; %s", r.From, strings.Join(r.Voters, ", "), lead)
	if r.LeaderAgeMs > 2000 {
		fmt.Fprintf(w.out, "; this may be %v old", (time.Duration(r.LeaderAgeMs) * time.Millisecond).Round(time.Second))
	}
	fmt.Fprintln(w.out)
	if len(r.Learners) > 0 {
		fmt.Fprintln(w.out, "catching up:", strings.Join(r.Learners, ", "))
	}
	if len(r.Excluded) > 0 {
		fmt.Fprintln(w.out, "left alone by everybody:", strings.Join(r.Excluded, ", "))
	}
}

func (w *workFlags) printTable(r *seat.Report) {
	w.printHeader(r)
	table := tabwriter.NewWriter(w.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ID\tMACHINE\tPHASE\tPERMIT\tSINCE\tBY\tWHY")
	for _, q := range r.Requests {
		permit, phase := "", q.Phase
		if q.Permit > 0 {
			permit = strconv.FormatUint(q.Permit, 10)
		}
		if q.Overdue {
			phase += ", OVERDUE"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", q.ID, q.Machine, phase, permit, time.Unix(q.Since, 0).Format("01-02 15:04:05"), q.By, q.Why)
	}
	_ = table.Flush() // out is a terminal or a buffer
}

func (w *workFlags) printPlan(r *seat.Report) {
	w.printHeader(r)
	table := tabwriter.NewWriter(w.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FROM\tUNTIL\tMACHINE\tID\tTOGETHER WITH\t")
	for _, p := range r.Plan {
		late := ""
		if p.Late {
			late = "LATE"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", time.Unix(p.Begin, 0).Format("01-02 15:04"), time.Unix(p.End, 0).Format("01-02 15:04"), p.Machine, p.ID, strings.Join(p.With, ", "), late)
	}
	_ = table.Flush()
	var ids []string
	for id := range r.Unschedulable {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		fmt.Fprintf(w.out, "%s does not go: %s\n", id, r.Unschedulable[id])
	}
}

func (w *workFlags) printReason(r *seat.Report, id string) {
	if q := r.Find(id); q != nil {
		fmt.Fprintln(w.out, q.Why)
		if q.Permit > 0 {
			fmt.Fprintln(w.out, "permit", q.Permit)
		}
	}
}

// formatTime formats the Unix time at the start of a line of the record.
func formatTime(at string) string {
	if n, err := strconv.ParseInt(at, 10, 64); err == nil {
		return time.Unix(n, 0).Format("2006-01-02 15:04:05")
	}
	return at
}
