// Command molepaddle-days writes drawn days of trouble for the operators' bench, for the developers: the day's file
// goes to standard output. The same seed gives the same day; --without leaves entries out, to cut down a day that broke
// a rule.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"molepaddle/internal/rig/drawndays"
)

type cli struct {
	Site    string   `arg:"" help:"Site file of the deployment." type:"existingfile"`
	Seed    uint64   `help:"What the day is drawn from." required:""`
	Theme   string   `help:"Kinds of trouble." enum:"all,control,data,planned" default:"all"`
	Length  float64  `help:"Seconds of traffic; 0: the deployment's own." default:"0"`
	Fewest  int      `help:"Entries, at the least." default:"5"`
	Most    int      `help:"Entries, at the most." default:"14"`
	Kinds   []string `help:"Kinds that the deployment knows; none: all."`
	Roll    bool     `help:"Also have the proxies end and start again in turn."`
	Without []int    `help:"Entries to leave out, by their index."`
}

func main() {
	var c cli
	k := kong.Parse(&c,
		kong.Name("molepaddle-days"),
		kong.Description("Draws days of trouble for the operators' bench."),
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
