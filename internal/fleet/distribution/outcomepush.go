package distribution

import (
	"bufio"
	"context"
	"math"
	"net"
	"time"
)

// minPushInterval is the least time between two pushes of reports or lease renewals, which bounds the rate at
// which a busy proxy sends.
const minPushInterval = 100 * time.Millisecond

// pushOutcomes pushes reports, and renewals of leases that can't wait for the next pull, to a server until ctx ends,
// over one connection at a time.
func (w *Watcher) pushOutcomes(ctx context.Context, addr string) {
	backoff := Backoff{Min: minPushInterval, Max: 10 * minPushInterval}
	for ctx.Err() == nil {
		start := time.Now()
		_ = w.pushOverConn(ctx, addr) // a broken connection is replaced, and later reports compensate for lost ones
		backoff.Wait(ctx, time.Since(start))
	}
}

// pushOverConn pushes over one connection, which is opened for the first push, until it breaks or ctx ends.
func (w *Watcher) pushOverConn(ctx context.Context, addr string) error {
	var conn net.Conn
	var r *bufio.Reader
	for {
		var members []Member
		select {
		case <-w.Outcomes.Arrived():
		case <-w.MembersChanged:
			members = w.PushMembers()
		case <-ctx.Done():
			return ctx.Err()
		}
		reports := w.Outcomes.Take()
		if len(reports) == 0 && len(members) == 0 {
			continue
		}
		if conn == nil {
			var err error
			if conn, err = w.dial(addr); err != nil {
				return err
			}
			defer conn.Close()
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			defer stop()
			r = bufio.NewReaderSize(conn, 512)
		}
		if err := w.push(conn, r, members, reports); err != nil {
			return err
		}
		sleep(ctx, minPushInterval)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// push sends renewals and reports and waits for the server's response.
func (w *Watcher) push(conn net.Conn, r *bufio.Reader, members []Member, reports []OutcomeReport) error {
	_ = conn.SetDeadline(time.Now().Add(w.ReadTimeout)) // an error shows at the write
	request := Request{
		From:     w.Name,
		Versions: newestVersions(),
		Members:  members,
		Outcomes: reports,
		Push:     true,
	}
	if err := WriteFrame(conn, &request); err != nil {
		return err
	}
	var response Response
	return ReadFrame(r, &response)
}

// newestVersions returns the highest possible versions. A server of a release before Request.Push treats a push as an
// ordinary request; with these versions it has nothing newer to send in its response.
func newestVersions() map[string]Version {
	newest := Version{Epoch: math.MaxUint64, Count: math.MaxUint64}
	return map[string]Version{
		ConfigType:         newest,
		BackendListType:    newest,
		MembershipSizeType: newest,
		ControlServersType: newest,
		LoadReportType:     newest,
		EjectionsType:      newest,
	}
}
