package scheduler

import "math"

const (
	// crossZoneSlowdown is the ratio of the duration of a transfer between zones to one within a zone (PROTOCOL).
	crossZoneSlowdown = 2
	// transferDelayHalfLifeMs is the half-life of the mean transfer delay of a backend, ms.
	transferDelayHalfLifeMs = 2000
	// transferDelayWeight is the weight of a single transfer in that mean.
	transferDelayWeight = 0.3
	// minTransferDrift is the fraction by which minTransferMs increases with each transfer, so that it adapts to a
	// slower network.
	minTransferDrift = 0.002
)

// TransferMs returns the duration of the transfer of the prompt's KV cache between two backends at the configured rate,
// ms.
func (e *Estimator) TransferMs(from, to string, p *Prompt) float64 {
	if e.spec.LinkMbps <= 0 {
		return 0
	}
	ms := float64(p.InputTokens) * e.spec.KVBytesPerToken * 8 / (e.spec.LinkMbps * 1000)
	source, target := e.byID[from], e.byID[to]
	if source != nil && target != nil && source.zone != target.zone {
		ms *= crossZoneSlowdown
	}
	return ms
}

// ObserveTransfer records that a backend fetched the KV cache of a prompt from another, and the time until its first
// token, ms. ok is false if the fetch failed within that time.
func (e *Estimator) ObserveTransfer(now float64, from, to string, p *Prompt, ms float64, ok bool) {
	source, target := e.byID[from], e.byID[to]
	if target != nil && ok {
		target.cache.touch(p)
	}
	if source == nil || target == nil {
		return
	}
	// Transfers are usually short enough that the minimum is found quickly.
	if e.minTransferMs == 0 || ms < e.minTransferMs {
		e.minTransferMs = ms
	}
	e.minTransferMs += e.minTransferMs * minTransferDrift
	delay := max(ms-e.minTransferMs-e.TransferMs(from, to, p), 0)
	// The delay is attributed to each backend only beyond the known delay of the other one.
	ofSource, ofTarget := source.outbound.value(now), target.inbound.value(now)
	source.outbound.add(now, max(delay-ofTarget, 0))
	target.inbound.add(now, max(delay-ofSource, 0))
}

// OutboundDelayMs returns the recent mean excess duration of transfers from a backend, ms.
func (e *Estimator) OutboundDelayMs(now float64, id string) float64 {
	if b := e.byID[id]; b != nil {
		return b.outbound.value(now)
	}
	return 0
}

// InboundDelayMs returns the recent mean excess duration of transfers to a backend, ms.
func (e *Estimator) InboundDelayMs(now float64, id string) float64 {
	if b := e.byID[id]; b != nil {
		return b.inbound.value(now)
	}
	return 0
}

// decayingMean is a mean that decays with time, so that a formerly slow backend is tried again.
type decayingMean struct{ ms, at float64 }

func (m *decayingMean) value(now float64) float64 {
	return m.ms * math.Exp2(-(now-m.at)/transferDelayHalfLifeMs)
}

func (m *decayingMean) add(now, ms float64) {
	mean := m.value(now)
	m.ms = mean + (ms-mean)*transferDelayWeight
	m.at = now
}
