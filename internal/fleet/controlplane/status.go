package controlplane

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"time"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/status"
)

// statusTimeout bounds how long a status waits for the view to be confirmed: callers turn elsewhere after a second.
const statusTimeout = 700 * time.Millisecond

// pollStatus is what the poller of a term last did. It is replaced whole, its list is never changed.
type pollStatus struct {
	epoch uint64
	since time.Time // when the term began
	at    time.Time // of the last answer; zero: none in this term
	list  *distribution.BackendList
}

// configCommit tells when the newest configuration was found committed here, by which change.
type configCommit struct {
	version int64
	seq     uint64
	at      time.Time
}

// recordConfigCommit notes committed state: its time counts where it brings another configuration.
func (s *Server) recordConfigCommit(a *appliedState, now time.Time) {
	if was := s.committedConfig.Load(); was == nil || was.version != versionOf(a.doc) {
		s.committedConfig.Store(&configCommit{version: versionOf(a.doc), seq: a.docSeq, at: now})
	}
}

// maxContacts bounds the core machines of which the last word is remembered: members change, and there are 64 at the most.
const maxContacts = 256

// recordContact notes that a core machine was heard.
func (s *Server) recordContact(from string, at time.Time) {
	if _, known := s.lastContact.Load(from); known || s.lastContact.Size() < maxContacts {
		s.lastContact.Store(from, at)
	}
}

// memberLease is how long a member counts without a renewal.
func (s *Server) memberLease() time.Duration { return 3*s.settings.Heartbeat + time.Second }

// phaseTakeoverWait is how long a new holder of the phases' duty keeps still: holders don't take turns within a lease, and the last
// order of an earlier one may be sent confirmAndOrderTimeout after that one's view was last confirmed.
func (s *Server) phaseTakeoverWait() time.Duration {
	return s.settings.Bounds.Lease + confirmAndOrderTimeout + orderTransitBound
}

// showStatus answers a call for the status; a caller is passed on to the primary unless it asks for this machine's own word.
func (s *Server) showStatus(w http.ResponseWriter, r *http.Request) {
	local := r.URL.Query().Has(externalapi.QueryLocal)
	ctx, cancel := s.withContact(r.Context(), statusTimeout)
	defer cancel()
	if !local && !s.admit(ctx, w, r) {
		return
	}
	st := s.status.Load()
	confirmed := false
	if st.Role == replication.Primary {
		ans, err := s.submitAndWait(ctx, func(now time.Duration, token uint64) replication.Output { return s.replica.Read(now, token) })
		st = s.status.Load()
		confirmed = err == nil && ans.Result == replication.Confirmed && st.Role == replication.Primary
	}
	if !confirmed && !local {
		s.unavailable(w, "the view is not confirmed")
		return
	}
	f := s.fleetStatus(st, time.Now())
	f.Confirmed = confirmed
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(f)
}

// controlAddr is where a core machine takes the operator's calls, from where it hears the core.
func (s *Server) controlAddr(core string) string {
	host, _, err := net.SplitHostPort(core)
	_, port, err2 := net.SplitHostPort(s.settings.Bind.Control)
	if err != nil || err2 != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// fleetStatus gathers how the fleet stands, as far as this machine knows.
func (s *Server) fleetStatus(st *replication.Status, now time.Time) *status.Fleet {
	f := &status.Fleet{From: s.settings.NodeName, View: status.View{Epoch: st.Epoch, Primary: s.controlAddr(st.PrimaryAddr), Ready: st.Ready, Members: []status.Member{}},
		BackendList: status.BackendList{AgeMs: -1}, Agents: []status.Agent{}, Services: []status.Service{}}
	for _, m := range st.View.Members {
		role := replication.Witness
		switch {
		case m.ID == st.View.Primary:
			role = replication.Primary
		case slices.Contains(st.View.Backups, m.ID):
			role = replication.Backup
		}
		told := status.Member{Address: s.controlAddr(m.Addr), Zone: m.Zone, Region: m.Region, Role: role.String(), Self: m.ID == st.ID, LastContactMs: -1}
		if at, ok := s.lastContact.Load(m.Addr); ok && !told.Self {
			told.LastContactMs = max(now.Sub(at), 0).Milliseconds()
		}
		f.View.Members = append(f.View.Members, told)
	}
	settled := s.committed.Load()
	if c := s.committedConfig.Load(); c != nil {
		f.Configuration = status.Configuration{Version: c.version, Seq: c.seq, AgeMs: max(now.Sub(c.at), 0).Milliseconds()}
	}
	for _, m := range s.cache.Members(now, s.memberLease()) {
		f.Agents = append(f.Agents, status.Agent{Name: m.Name, Zone: m.Zone, LeaseAgeMs: m.AgeMs, ConfigVersion: m.ConfigVersion, ConfigAgeMs: m.AgeMs + m.ConfigAgeMs,
			BackendListVersion: status.ListVersion{Epoch: m.BackendListVersion.Epoch, Count: m.BackendListVersion.Count}})
	}
	if at, ok := s.cache.Version(distribution.BackendListType); ok {
		f.BackendList.ListVersion = status.ListVersion{Epoch: at.Epoch, Count: at.Count}
	}
	f.SingletonRoles = s.singletonRoles(st, now)
	f.CollectingLeases = true
	if p := s.lastPoll.Load(); p != nil && st.Role == replication.Primary && p.epoch == st.Epoch {
		f.CollectingLeases = now.Sub(p.since) < s.memberLease()
		if !p.at.IsZero() {
			f.BackendList.AgeMs = max(now.Sub(p.at), 0).Milliseconds()
		}
		f.Services = servicesOf(p.list, settled)
	}
	f.Sort()
	return f
}

// singletonRoles tells who does what for all: nobody while the view has no primary that is ready.
func (s *Server) singletonRoles(st *replication.Status, now time.Time) []status.SingletonRole {
	poll, phases := status.SingletonRole{Name: status.SingletonPoll}, status.SingletonRole{Name: status.SingletonPhases}
	if st.Ready && s.settings.Provider.Address != "" {
		poll.Holder, poll.FencingToken = s.controlAddr(st.PrimaryAddr), st.Epoch
		phases.Holder, phases.FencingToken = poll.Holder, st.Epoch
		if st.Role == replication.Primary {
			phases.StandbyMs = s.phaseTakeoverWait().Milliseconds()
			if p := s.lastPoll.Load(); p != nil && p.epoch == st.Epoch {
				phases.StandbyMs = max(s.phaseTakeoverWait()-now.Sub(p.since), 0).Milliseconds()
			}
		}
	}
	return []status.SingletonRole{poll, phases}
}

// servicesOf counts the backends of each service that the configuration or the list names.
func servicesOf(list *distribution.BackendList, settled *appliedState) []status.Service {
	all := map[string]*status.Service{}
	of := func(name string) *status.Service {
		s := all[name]
		if s == nil {
			s = &status.Service{Name: name, Phases: map[string]int{}}
			all[name] = s
		}
		return s
	}
	if settled != nil && settled.doc != nil {
		for _, svc := range settled.doc.Services() {
			of(svc.Name)
		}
	}
	if list != nil {
		for i := range list.Backends {
			b := &list.Backends[i]
			s := of(b.Service)
			s.Backends++
			if b.Draining {
				s.Draining++
			}
			if b.Phase != "" {
				s.Phases[b.Phase]++
			}
		}
	}
	out := make([]status.Service, 0, len(all))
	for _, s := range all {
		out = append(out, *s)
	}
	return out
}
