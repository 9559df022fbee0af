package core

import (
	"math"
	"strconv"
	"strings"
)

// report reads the values that the settings name from a load report of the form
// 'TEXT name=value, name=value'. It is taken whole or not at all: a value that is
// missing or makes no sense would look like an idle server.
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
