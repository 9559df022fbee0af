package proxy

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/outlier"
	"molepaddle/internal/fleet/routingconfig"
)

// feed pulls from the node agent for as long as the process lives.
func (v *Proxy) feed(ctx context.Context) {
	pause := distribution.Backoff{Min: 5 * time.Millisecond, Max: 100 * time.Millisecond}
	for ctx.Err() == nil {
		began := time.Now()
		err := distribution.Watch(ctx, distribution.NodeAgentAddr(v.set.Ports), &distribution.Watcher{Name: v.set.NodeName, MaxWait: v.set.Heartbeat, ReadTimeout: time.Second,
			Members:  func() []distribution.Member { return []distribution.Member{v.member(time.Now())} },
			Versions: func() map[string]distribution.Version { return maps.Clone(v.have) },
			Apply:    func(n *distribution.Response) []string { v.take(n); return nil },
			Outcomes: v.outcomes,
			Residency: func(now time.Time) *distribution.ResidencyOutbox {
				v.enclosed.hand(now, v.rested, false)
				return v.rested
			}})
		if ctx.Err() != nil {
			return
		}
		v.log.Debug("node agent lost", zap.Error(err))
		pause.Wait(ctx, time.Since(began))
	}
}

// member is this proxy as its lease tells of it.
func (v *Proxy) member(now time.Time) distribution.Member {
	m := distribution.Member{Name: v.set.NodeName, Zone: v.set.Zone, BackendListVersion: v.have[distribution.BackendListType]}
	if v.doc != nil {
		m.ConfigVersion, m.ConfigAgeMs = v.doc.Version(), now.Sub(v.docAt).Milliseconds()
	}
	return m
}

// take takes news; what can't be used is asked for anew, whole.
func (v *Proxy) take(n *distribution.Response) {
	news := false
	for i := range n.Resources {
		p := &n.Resources[i]
		if err := v.takePiece(p); err != nil {
			v.log.Warn("news not understood", zap.String("source", p.Type), zap.Error(err))
			delete(v.have, p.Type)
			continue
		}
		v.have[p.Type] = p.Version
		news = news || p.Type != distribution.LoadReportType && p.Type != distribution.EjectionsType
	}
	if news {
		v.turn()
	}
}

func (v *Proxy) takePiece(p *distribution.Resource) error {
	switch p.Type {
	case distribution.ConfigType:
		doc := v.doc
		if p.Snapshot != nil {
			d, found := routingconfig.Decode(p.Snapshot)
			if err := found.Err(); err != nil {
				return err
			}
			doc = d
		} else if v.have[p.Type] != p.BaseVersion {
			return errors.New("changes of a version that is not had")
		}
		for _, c := range p.Changes {
			change := routingconfig.Update
			if c.Replace {
				change = routingconfig.Replace
			}
			d, found := change(doc, c.Body)
			if err := found.Err(); err != nil {
				return err
			}
			doc = d
		}
		if doc.Version() > v.doc.Version() { // never back to an older one, whoever offers it
			v.doc, v.docAt = doc, time.Now()
			v.log.Info("configuration in force", zap.Int64("version", doc.Version()), zap.Int("routes", doc.NumRoutes()))
		}
	case distribution.BackendListType:
		var list distribution.BackendList
		if _, err := list.UnmarshalMsg(p.Snapshot); err != nil {
			return err
		}
		v.list, v.listed = list, true
	case distribution.MembershipSizeType:
		var crowd distribution.MembershipSize
		if _, err := crowd.UnmarshalMsg(p.Snapshot); err != nil {
			return err
		}
		v.proxies, v.neighbours = max(crowd.Proxies, 1), max(crowd.Zones[v.set.Zone], 1)
	case distribution.LoadReportType:
		var gauges distribution.LoadReport
		if _, err := gauges.UnmarshalMsg(p.Snapshot); err != nil {
			return err
		}
		for _, s := range v.services {
			s.gauged(gauges.Active, gauges.Unresponsive)
		}
	case distribution.EjectionsType:
		var all distribution.Ejections
		if _, err := all.UnmarshalMsg(p.Snapshot); err != nil {
			return err
		}
		for _, s := range v.services {
			s.eject(all.Ejected, v.set.Zone, outlier.ProxyCount{All: v.proxies, InZone: v.neighbours})
		}
	}
	return nil
}

// turn has requests served by what is known now.
func (v *Proxy) turn() {
	if v.doc == nil {
		return
	}
	w := &world{index: routingconfig.NewIndex(v.doc), limits: v.doc.Limits(), services: map[string]*service{}, version: v.doc.Version(), proxies: v.proxies}
	w.enclose(v.doc)
	parts := map[string][]distribution.Backend{}
	for _, b := range v.list.Backends {
		parts[b.Service] = append(parts[b.Service], b)
	}
	for _, c := range v.doc.Services() {
		s := v.services[c.Name]
		if s == nil {
			s = newService(c.Name, v.ground, v.set.Bounds.Contact)
			v.services[c.Name] = s
		}
		s.configure(c)
		s.list(parts[c.Name])
		s.mu.Lock()
		s.spent.bound(time.Now(), v.set.Bounds.RetryRatio, v.set.Bounds.RetryExtra, v.set.Bounds.RetryWindow, v.proxies)
		s.mu.Unlock()
		w.services[c.Name] = s
	}
	for name := range v.services {
		if w.services[name] == nil {
			delete(v.services, name)
		}
	}
	v.world.Store(w)
	v.enclosed.withdraw(w)
	if v.listed && !v.ready.Swap(true) {
		close(v.served)
	}
}
