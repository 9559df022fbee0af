package plantedfault

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOnly checks that a text which is there twice, or not at all, isn't laid.
func TestOnly(t *testing.T) {
	c := qt.New(t)
	texts := map[string]string{"a.go": "one two", "b.go": "two three three"}
	file, err := only(texts, "one")
	c.Assert(err, qt.IsNil)
	c.Assert(file, qt.Equals, "a.go")
	for _, text := range []string{"two", "three", "four"} {
		_, err := only(texts, text)
		c.Check(err, qt.ErrorMatches, "to be planted anew: .*")
	}
}
