// Command molepaddle-days is a developers' tool that generates random schedules of faults ("days") for the operators'
// bench and writes the file to standard output. The same seed gives the same day; --without omits entries, to reduce
// a day that violated a rule.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"molepaddle/internal/rig/drawndays"
)

type cli struct {
	Site    string   `arg:"" help:"Site file of the deployment." type:"existingfile"`
	Seed    uint64   `help:"Seed of the random generator." required:""`
	Theme   string   `help:"Kinds of faults." enum:"all,control,data,planned" default:"all"`
	Length  float64  `help:"Seconds of traffic; 0: the default of the deployment." default:"0"`
	Fewest  int      `help:"Minimum number of entries." default:"5"`
	Most    int      `help:"Maximum number of entries." default:"14"`
	Kinds   []string `help:"Kinds of entries to draw, of those that the deployment supports; none: all."`
	Roll    bool     `help:"Also restart the proxies one after the other."`
	Without []int    `help:"Indexes of entries to omit."`
}

func main() {
	var c cli
	k := kong.Parse(&c,
		kong.Name("molepaddle-days"),
		kong.Description("Generates random schedules of faults for the operators' bench."),
		kong.UsageOnError())
	site, err := drawndays.ReadSite(c.Site)
	k.FatalIfErrorf(err)
	options := site.Options()
	options.Seed, options.Theme, options.Without, options.Kinds = c.Seed, drawndays.Theme(c.Theme), c.Without, c.Kinds
	options.Fewest, options.Most = c.Fewest, c.Most
	options.Roll = c.Roll
	if c.Length > 0 {
		options.Length = c.Length
	}
	day := drawndays.Draw(options)
	fmt.Fprint(os.Stdout, day)
}
