package calm

import "testing"

// The first answers make the measure, at most half of what a server may take; after that it follows
// quicker answers, and longer ones hardly.
func TestMeasure(t *testing.T) {
	c := New(20)
	for range learnFor {
		if c.Learnt() {
			t.Fatal("learnt too soon")
		}
		c.Answered(0.9, true)
	}
	if c.Least != CrowdShare/2 {
		t.Errorf("a crowd at the start is taken for calm: %v", c.Least)
	}
	for range 2000 {
		c.Answered(0.05, false)
	}
	if c.Least > 0.1 || c.Fleet < 0.049 || c.Fleet > 0.06 {
		t.Errorf("answers of 0.05: calm %v, fleet %v", c.Least, c.Fleet)
	}
	low := c.Least
	for range 200 {
		c.Answered(0.9, false)
	}
	if c.Least > low*1.1 {
		t.Errorf("a crowd of 200 answers moves calm from %v to %v", low, c.Least)
	}
	if cold, warm := c.Limit(0.25), c.Limit(1); cold != 4*warm || warm < 0.09*crowdFactor*low || warm > CrowdShare {
		t.Errorf("limits: warm %v, cold %v", warm, cold)
	}
}
