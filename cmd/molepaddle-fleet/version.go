package main

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

type versionCmd struct{}

// Run prints the build information.
func (versionCmd) Run(a *app) error {
	writeVersion(a.out, a.readBuildInfo)
	return nil
}

type versionFlag bool

// BeforeReset prints the build information and exits.
func (versionFlag) BeforeReset(k *kong.Kong, a *app) error {
	writeVersion(a.out, a.readBuildInfo)
	k.Exit(exitOK)
	return nil
}

// writeVersion prints the module version, revision, Go version and platform of the build.
func writeVersion(w io.Writer, build func() (*debug.BuildInfo, bool)) {
	info, ok := build()
	if !ok {
		fmt.Fprintln(w, "molepaddle-fleet, of a build that says nothing of itself")
		return
	}
	set := map[string]string{}
	for _, s := range info.Settings {
		set[s.Key] = s.Value
	}
	fmt.Fprintf(w, "molepaddle-fleet %s\n", info.Main.Version)
	if at := set["vcs.revision"]; at != "" {
		changes := ""
		if set["vcs.modified"] == "true" {
			changes = ", with changes"
		}
		fmt.Fprintf(w, "revision %s of %s%s\n", at, set["vcs.time"], changes)
	}
	fmt.Fprintf(w, "%s %s/%s\n", info.GoVersion, set["GOOS"], set["GOARCH"])
}
