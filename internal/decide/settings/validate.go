package settings

import (
	"fmt"
	"math"
)

// Validate reports the first setting that makes no sense, by its key.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: none given")
	}
	for i, c := range s.Classes {
		at := func(key string) string { return fmt.Sprintf("settings: classes[%d].%s", i, key) }
		switch {
		case !(c.AimMs > 0) || math.IsInf(c.AimMs, 0):
			return fmt.Errorf("%s: must be above 0 and finite, is %v", at("aimMs"), c.AimMs)
		case !(c.GiveUpMs > 0) || math.IsInf(c.GiveUpMs, 0):
			return fmt.Errorf("%s: must be above 0 and finite, is %v", at("giveUpMs"), c.GiveUpMs)
		case !(c.Credit >= 0):
			return fmt.Errorf("%s: must be 0 or above, is %v", at("credit"), c.Credit)
		case c.Effect != Free && c.Effect != Guarded && c.Effect != SingleShot:
			return fmt.Errorf("%s: unknown effect %q", at("effect"), c.Effect)
		case c.Effect == Guarded && c.Group != GroupAll && c.Group != GroupZone && c.Group != GroupCell:
			return fmt.Errorf("%s: unknown group %q", at("group"), c.Group)
		case c.Effect == Guarded && !(c.KeyTTLMs >= 0):
			return fmt.Errorf("%s: must be 0 or above, is %v", at("keyTtlMs"), c.KeyTTLMs)
		}
	}
	if s.Membership != "pushed" && s.Membership != "on_request" {
		return fmt.Errorf("settings: membershipMode: unknown mode %q", s.Membership)
	}
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"contract.answerSlackMs", s.Contract.AnswerSlackMs},
		{"contract.askWithinMs", s.Contract.AskWithinMs},
		{"contract.coldFrom", s.Contract.ColdFrom},
		{"contract.coldMs", s.Contract.ColdMs},
		{"contract.drainGraceMs", s.Contract.DrainGraceMs},
		{"contract.fallMultiple", s.Contract.FallMultiple},
		{"contract.tipAfterMs", s.Contract.TipAfterMs},
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
