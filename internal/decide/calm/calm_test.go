package calm

import "testing"

// The first answers set the baseline, at most to half of MaxTargetFraction; after that it follows
// lower latencies quickly and higher ones hardly.
func TestBaseline(t *testing.T) {
	c := New(20)
	for range warmupSamples {
		if c.Ready() {
			t.Fatal("ready after fewer than warmupSamples answers")
		}
		c.Observe(0.9, true)
	}
	if c.Unloaded != MaxTargetFraction/2 {
		t.Errorf("an overload at the start sets the baseline: %v", c.Unloaded)
	}
	for range 2000 {
		c.Observe(0.05, false)
	}
	if c.Unloaded > 0.1 || c.OverallMean < 0.049 || c.OverallMean > 0.06 {
		t.Errorf("answers of 0.05: baseline %v, overall mean %v", c.Unloaded, c.OverallMean)
	}
	low := c.Unloaded
	for range 200 {
		c.Observe(0.9, false)
	}
	if c.Unloaded > low*1.1 {
		t.Errorf("an overload of 200 answers moves the baseline from %v to %v", low, c.Unloaded)
	}
	if cold, warm := c.OverloadLimit(0.25), c.OverloadLimit(1); cold != 4*warm || warm < 0.09*overloadFactor*low ||
		warm > MaxTargetFraction {
		t.Errorf("limits: warm %v, cold %v", warm, cold)
	}
}
