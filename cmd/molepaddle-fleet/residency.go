package main

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
)

type residencyCmd struct {
	controlFlags
	Tenant string `arg:"" optional:"" help:"Name of the tenant. Default: all tenants."`
	Route  string `help:"A route that has regions without a tenant, in place of TENANT." placeholder:"NAME"`
	JSON   bool   `name:"json" help:"Print the report as JSON."`
}

// Run prints the regions in which the data of tenants or routes was held.
func (c *residencyCmd) Run(ctx context.Context, a *app) error {
	if c.Tenant != "" && c.Route != "" {
		return exitError{errors.New("give TENANT or --route, not both"), exitUsage}
	}
	client, err := c.client(a)
	if err != nil {
		return err
	}
	response, err := client.Residency(ctx, c.Tenant, c.Route)
	if err != nil {
		return exitError{err, exitCodeOf(err)}
	}
	var report externalapi.ResidencyReport
	if err := json.Unmarshal(response.Body, &report); err != nil {
		return exitError{errors.Wrapf(err, "what %s says is no report", response.Endpoint), exitIndeterminate}
	}
	if c.JSON {
		return writeJSON(a.out, report)
	}
	fmt.Fprintf(a.out, "%s, as of change %d of the record, from %s\n", plural(len(report.Rows), "row"), report.Seq,
		response.Endpoint)
	if len(report.Rows) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nof\tregion\tfirst\tlast\tplain\tprefills\tdecodes\tresumes")
	for _, r := range report.Rows {
		of := "others"
		switch {
		case r.Tenant != "":
			of = "tenant " + quoteName(r.Tenant)
		case r.Route != "":
			of = "route " + quoteName(r.Route)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", of, quoteName(r.Region), formatTime(r.First),
			formatTime(r.Last), r.Plain, r.Prefills, r.Decodes, r.Resumes)
	}
	return t.Flush()
}

// formatTime returns a time in UTC to the millisecond.
func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02T15:04:05.000Z") }
