package scenario

import (
	"encoding/json"

	"molepaddle/internal/decide/settings"
)

// ReportNames are the figures of the load reports, in their order.
var ReportNames = []string{"qps", "util", "eps"}

// effects are those of the classes, by the words of a scenario.
var effects = map[string]settings.Idempotency{
	"safe":   settings.Idempotent,
	"keyed":  settings.Deduplicated,
	"unsafe": settings.NonIdempotent,
}

// Settings are what an agent is told of the deployment; index counts the agents.
func (s *Scenario) Settings(index, zone int) settings.Settings {
	var t settings.Settings
	for _, c := range s.Classes {
		effect := effects[c.Effect]
		t.Classes = append(t.Classes, settings.Class{
			Name:              c.Name,
			LatencyTargetMs:   c.Aim.Ms(),
			ClientTimeoutMs:   c.GiveUp.Ms(),
			Idempotency:       effect,
			DedupScope:        settings.DedupAll,
			DedupTTLMs:        c.KeyWindow.Ms(),
			Value:             c.Worth,
			LateValueFraction: c.LateWorth,
		})
	}
	l, r := &s.Limits, &s.Rules
	t.Limits = settings.Limits{
		Cancellation:     l.Cancelling,
		ConnectTimeoutMs: l.Connect.Ms(),
		KeepaliveMs:      l.KeepIdle.Ms(),
		MaxAttempts:      l.Attempts,
		MaxRetryAfterMs:  l.RetryAfter.Ms(),
		HealthChecks:     l.Probing,
		RetryAfter:       l.RetryAfter > 0,
	}
	t.Contract = settings.Contract{
		AnswerSlackMs:     20,
		MaxPollIntervalMs: r.AskWithin.Ms(),
		SlowStartFraction: r.ColdFrom,
		SlowStartMs:       r.Cold.Ms(),
		DrainGraceMs:      r.DrainGrace.Ms(),
		OverloadFactor:    r.FallMultiple,
		OverloadAfterMs:   r.FallAfter.Ms(),
	}
	t.Prices = settings.Prices{CrossZone: 0.02, Waste: 0.05, LateFail: 0.03}
	t.Objective = settings.Objective{Overall: 0.55, WorstWindow: 0.15, WorstClass: 0.3}
	t.LoadReport = settings.LoadReport{Mode: "off"}
	for _, k := range s.Servers {
		t.FamilyInfo.WarmKeys = t.FamilyInfo.WarmKeys || k.KeySaves > 0
		if k.ReportEvery > 0 {
			t.LoadReport = settings.LoadReport{Mode: "inline", Names: ReportNames}
		}
	}
	t.Membership = "on_request"
	if s.Roster.Pushed {
		t.Membership = "pushed"
	}
	t.Clients.MarksRetry = true
	t.Index, t.Replicas, t.OverQuotaValue = index, s.Agents(), 0.1
	t.RoundMs, t.Weights, t.ValueBy, t.Zone = 5, s.Agent.Weights, "request", zone
	return t
}

// KindNames are the kinds of servers in their order.
func (s *Scenario) KindNames() (names []string) {
	for _, k := range s.Servers {
		names = append(names, k.Kind)
	}
	return names
}

// Config is the text of what the platform would tell an agent; known is the list as the roster
// words it.
func (s *Scenario) Config(
	name, listen, discovery, seed string, index, zone int, known json.RawMessage,
) ([]byte, error) {
	raw, err := json.Marshal(s.Settings(index, zone))
	if err != nil {
		return nil, err
	}
	var set map[string]any
	if err := json.Unmarshal(raw, &set); err != nil {
		return nil, err
	}
	set["failureDomains"], set["shapes"] = s.Zones, s.KindNames()
	return json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": seed,
		"limits":   map[string]any{"cores": 1, "memory_mb": s.Limits.MemoryMB, "sockets": s.Limits.Sockets},
		"settings": set, "known": known})
}
