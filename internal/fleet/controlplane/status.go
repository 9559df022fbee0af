package controlplane

import (
	"net/http"
	"slices"
	"time"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/status"
)

const (
	// statusTimeout bounds how long a status call waits for the view's confirmation: clients move to another machine
	// after one second.
	statusTimeout = 700 * time.Millisecond
	// maxContacts bounds the core machines whose last contact is recorded. There are 64 members at most, but membership
	// changes over time.
	maxContacts = 256
	// neverMs is the age of an event that has not happened yet.
	neverMs = -1
)

// recordContact records the time of a message from a core machine.
func (s *Server) recordContact(from string, at time.Time) {
	if _, known := s.lastContact.Load(from); known || s.lastContact.Size() < maxContacts {
		s.lastContact.Store(from, at)
	}
}

// showStatus answers a status call. The caller is redirected to the primary unless it requests this machine's local
// view.
func (s *Server) showStatus(w http.ResponseWriter, r *http.Request) error {
	local := r.URL.Query().Has(externalapi.QueryLocal)
	ctx, cancel := s.withContact(r.Context(), statusTimeout)
	defer cancel()
	if !local {
		if err := s.admit(ctx, r); err != nil {
			return err
		}
	}
	st := s.status.Load()
	confirmed := false
	if st.Role == replication.Primary {
		ans, err := s.confirmView(ctx)
		st = s.status.Load()
		confirmed = err == nil && ans.Result == replication.Confirmed && st.Role == replication.Primary
	}
	if !confirmed && !local {
		return unavailable("the view is not confirmed")
	}
	fleet := s.fleetStatus(st, time.Now())
	fleet.Confirmed = confirmed
	writeJSON(w, fleet)
	return nil
}

// fleetStatus returns the fleet's status as known to this machine.
func (s *Server) fleetStatus(st *replication.Status, now time.Time) *status.Fleet {
	fleet := &status.Fleet{
		From:             s.settings.NodeName,
		CollectingLeases: true,
		View:             s.viewStatus(st, now),
		SingletonRoles:   s.singletonRoles(st, now),
		BackendList:      status.BackendList{AgeMs: neverMs},
		Agents:           s.agentStatus(now),
		Services:         []status.Service{},
	}
	committed := s.committed.Load()
	if c := s.committedConfig.Load(); c != nil {
		fleet.Configuration = status.Configuration{Version: c.version, Seq: c.seq, AgeMs: ageMs(now, c.at)}
	}
	if version, ok := s.cache.Version(distribution.BackendListType); ok {
		fleet.BackendList.ListVersion = listVersion(version)
	}
	if p := s.lastPoll.Load(); p != nil && st.Role == replication.Primary && p.epoch == st.Epoch {
		fleet.CollectingLeases = now.Sub(p.since) < s.memberLease()
		if !p.at.IsZero() {
			fleet.BackendList.AgeMs = ageMs(now, p.at)
		}
		fleet.Services = serviceStatus(p.list, committed)
	}
	fleet.Sort()
	return fleet
}

// ageMs returns the time from at to now in milliseconds; 0 if at is in the future.
func ageMs(now, at time.Time) int64 { return max(now.Sub(at), 0).Milliseconds() }

func listVersion(v distribution.Version) status.ListVersion {
	return status.ListVersion{Epoch: v.Epoch, Count: v.Count}
}

// viewStatus returns the core's view and the age of each member's last message.
func (s *Server) viewStatus(st *replication.Status, now time.Time) status.View {
	view := status.View{
		Epoch:   st.Epoch,
		Primary: s.controlAddr(st.PrimaryAddr),
		Ready:   st.Ready,
		Members: []status.Member{},
	}
	for _, m := range st.View.Members {
		member := status.Member{
			Address:       s.controlAddr(m.Addr),
			Zone:          m.Zone,
			Region:        m.Region,
			Role:          roleOf(&st.View, m.ID).String(),
			Self:          m.ID == st.ID,
			LastContactMs: neverMs,
		}
		if at, ok := s.lastContact.Load(m.Addr); ok && !member.Self {
			member.LastContactMs = ageMs(now, at)
		}
		view.Members = append(view.Members, member)
	}
	return view
}

// roleOf returns the role of a member of a view.
func roleOf(view *replication.View, id replication.ID) replication.Role {
	switch {
	case id == view.Primary:
		return replication.Primary
	case slices.Contains(view.Backups, id):
		return replication.Backup
	}
	return replication.Witness
}

// agentStatus returns the proxies that hold a lease, each with its node agent's name; the report calls them agents.
func (s *Server) agentStatus(now time.Time) []status.Agent {
	agents := []status.Agent{}
	for _, m := range s.cache.Members(now, s.memberLease()) {
		agents = append(agents, status.Agent{
			Name:               m.Name,
			Zone:               m.Zone,
			LeaseAgeMs:         m.AgeMs,
			ConfigVersion:      m.ConfigVersion,
			ConfigAgeMs:        m.AgeMs + m.ConfigAgeMs,
			BackendListVersion: listVersion(m.BackendListVersion),
			Draining:           m.Draining,
		})
	}
	return agents
}

// singletonRoles returns the holders of the singleton roles; they have no holder while there is no ready primary.
func (s *Server) singletonRoles(st *replication.Status, now time.Time) []status.SingletonRole {
	poll := status.SingletonRole{Name: status.SingletonPoll}
	phases := status.SingletonRole{Name: status.SingletonPhases}
	if st.Ready && s.settings.Provider.Address != "" {
		holder := s.controlAddr(st.PrimaryAddr)
		poll.Holder, poll.FencingToken = holder, st.Epoch
		phases.Holder, phases.FencingToken = holder, st.Epoch
		if st.Role == replication.Primary {
			phases.StandbyMs = s.phaseTakeoverWait().Milliseconds()
			if p := s.lastPoll.Load(); p != nil && p.epoch == st.Epoch {
				phases.StandbyMs = max(s.phaseTakeoverWait()-now.Sub(p.since), 0).Milliseconds()
				phases.Fenced = p.fenced
			}
		}
	}
	return []status.SingletonRole{poll, phases}
}

// serviceStatus returns the backend counts of each service in the configuration or the list.
func serviceStatus(list *distribution.BackendList, committed *appliedState) []status.Service {
	services := map[string]*status.Service{}
	service := func(name string) *status.Service {
		s := services[name]
		if s == nil {
			s = &status.Service{Name: name, Phases: map[string]int{}}
			services[name] = s
		}
		return s
	}
	if committed != nil && committed.doc != nil {
		for _, svc := range committed.doc.Services() {
			service(svc.Name)
		}
	}
	if list != nil {
		for i := range list.Backends {
			countBackend(service(list.Backends[i].Service), &list.Backends[i])
		}
	}
	out := make([]status.Service, 0, len(services))
	for _, s := range services {
		out = append(out, *s)
	}
	return out
}

// countBackend adds a backend to the counts of its service.
func countBackend(s *status.Service, b *distribution.Backend) {
	s.Backends++
	if b.Draining {
		s.Draining++
	}
	if b.Phase != "" {
		s.Phases[b.Phase]++
	}
}
