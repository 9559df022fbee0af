package core

import (
	"math"
	"strconv"
	"strings"
)

// report returns the values of the given names from a load report of the form
// 'TEXT name=value, name=value'. It returns nil if a value is missing, repeated, negative
// or not a finite number, because a default value would make the server look idle.
func report(text string, names []string) []float32 {
	text, found := strings.CutPrefix(text, "TEXT ")
	if !found || len(names) == 0 {
		return nil
	}
	values := make([]float32, len(names))
	seen := make([]bool, len(names))
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		for i := range names {
			if names[i] == name {
				x, err := strconv.ParseFloat(value, 32)
				if err != nil || !(x >= 0) || math.IsInf(x, 0) || seen[i] {
					return nil
				}
				values[i], seen[i] = float32(x), true
			}
		}
	}
	for _, ok := range seen {
		if !ok {
			return nil
		}
	}
	return values
}
