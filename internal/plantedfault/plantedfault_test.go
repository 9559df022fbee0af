package plantedfault

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUniqueFile checks that a text is rejected if it occurs more than once, or not at all.
func TestUniqueFile(t *testing.T) {
	c := qt.New(t)
	texts := map[string]string{"a.go": "one two", "b.go": "two three three"}
	file, err := uniqueFile(texts, "one")
	c.Assert(err, qt.IsNil)
	c.Assert(file, qt.Equals, "a.go")
	for _, text := range []string{"two", "three", "four"} {
		_, err := uniqueFile(texts, text)
		c.Check(err, qt.ErrorMatches, "to be planted anew: .*")
	}
}
