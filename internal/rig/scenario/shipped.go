package scenario

import (
	"embed"
	"slices"
	"strings"
)

//go:embed files/*.toml
var files embed.FS

// Shipped is the text of a scenario that comes with the program.
func Shipped(name string) (text []byte, ok bool) {
	if strings.ContainsAny(name, "/.") {
		return nil, false
	}
	text, err := files.ReadFile("files/" + name + ".toml")
	return text, err == nil
}

// Names are those of the shipped scenarios.
func Names() (names []string) {
	entries, err := files.ReadDir("files")
	if err != nil {
		return nil // it is part of the program
	}
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	slices.Sort(names)
	return names
}
