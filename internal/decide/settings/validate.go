package settings

import (
	"fmt"
	"math"
)

// Validate reports the first invalid setting, by its key.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: must not be empty")
	}
	for i, c := range s.Classes {
		at := func(key string) string { return fmt.Sprintf("settings: classes[%d].%s", i, key) }
		switch {
		case !(c.LatencyTargetMs > 0) || math.IsInf(c.LatencyTargetMs, 0):
			return fmt.Errorf("%s: must be above 0 and finite, is %v", at("aimMs"), c.LatencyTargetMs)
		case !(c.ClientTimeoutMs > 0) || math.IsInf(c.ClientTimeoutMs, 0):
			return fmt.Errorf("%s: must be above 0 and finite, is %v", at("giveUpMs"), c.ClientTimeoutMs)
		case !(c.Value >= 0):
			return fmt.Errorf("%s: must be 0 or above, is %v", at("credit"), c.Value)
		case c.Idempotency != Idempotent && c.Idempotency != Deduplicated && c.Idempotency != NonIdempotent:
			return fmt.Errorf("%s: must be free, guarded or single_shot, is %q", at("effect"), c.Idempotency)
		case c.Idempotency == Deduplicated && c.DedupScope != DedupAll && c.DedupScope != DedupZone &&
			c.DedupScope != DedupCell:
			return fmt.Errorf("%s: must be all, zone or cell, is %q", at("group"), c.DedupScope)
		case c.Idempotency == Deduplicated && !(c.DedupTTLMs >= 0):
			return fmt.Errorf("%s: must be 0 or above, is %v", at("keyTtlMs"), c.DedupTTLMs)
		}
	}
	if s.Membership != "pushed" && s.Membership != "on_request" {
		return fmt.Errorf("settings: membershipMode: must be pushed or on_request, is %q", s.Membership)
	}
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"contract.answerSlackMs", s.Contract.AnswerSlackMs},
		{"contract.askWithinMs", s.Contract.MaxPollIntervalMs},
		{"contract.coldFrom", s.Contract.SlowStartFraction},
		{"contract.coldMs", s.Contract.SlowStartMs},
		{"contract.drainGraceMs", s.Contract.DrainGraceMs},
		{"contract.fallMultiple", s.Contract.OverloadFactor},
		{"contract.tipAfterMs", s.Contract.OverloadAfterMs},
		{"limits.keepaliveMs", s.Limits.KeepaliveMs},
		{"limits.maxAttempts", float64(s.Limits.MaxAttempts)},
		{"limits.maxRetryAfterMs", s.Limits.MaxRetryAfterMs},
		{"prices.connection", s.Prices.Connection},
		{"prices.crossZone", s.Prices.CrossZone},
		{"prices.handshake", s.Prices.Handshake},
		{"replicasOfMe", float64(s.Replicas)},
		{"roundMs", s.RoundMs},
	} {
		if !(f.value >= 0) || math.IsInf(f.value, 0) {
			return fmt.Errorf("settings: %s: must be 0 or above, is %v", f.key, f.value)
		}
	}
	return nil
}
