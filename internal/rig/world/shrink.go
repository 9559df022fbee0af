package world

// Shrink cuts a day to the fewest operations that still break the rule that the day breaks
// first: whole parts of it are left out, ever smaller ones, until none can be (delta
// debugging, Zeller and Hildebrandt 2002). It returns nil for a day that breaks none.
func Shrink(day *Day, play func(*Day) Result) *Day {
	res := play(day)
	if len(res.Breaches) == 0 {
		return nil
	}
	rule := res.Breaches[0].Rule
	breaks := func(ops []Op) bool {
		for _, b := range play(day.with(ops)).Breaches {
			if b.Rule == rule {
				return true
			}
		}
		return false
	}
	ops := day.Ops
	for parts := 2; len(ops) > 1; {
		size := (len(ops) + parts - 1) / parts
		cut := false
		for from := 0; from < len(ops); from += size {
			rest := append(append([]Op{}, ops[:from]...), ops[min(from+size, len(ops)):]...)
			if breaks(rest) {
				ops, cut = rest, true
				break
			}
		}
		switch {
		case cut:
			parts = max(parts-1, 2)
		case size == 1:
			return day.with(ops)
		default:
			parts = min(2*parts, len(ops))
		}
	}
	return day.with(ops)
}
