package operatorclient

import (
	"net/http"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/routingconfig"
)

// TestWireBytesOfRefusal reads a refusal as control servers write it, from their package's golden file.
func TestWireBytesOfRefusal(t *testing.T) {
	c := qt.New(t)
	body, err := os.ReadFile("../controlplane/testdata/wire/refusal.json")
	c.Assert(err, qt.IsNil)
	got := refusal(http.StatusBadRequest, Answer{From: "10.0.0.1:8166", Body: body})
	c.Check(got, qt.DeepEquals, &Refused{
		Status: http.StatusBadRequest, From: "10.0.0.1:8166", Why: "the configuration is invalid",
		Findings: routingconfig.Findings{
			{Place: "routing[0].pfx", Text: "must begin and end with a slash"}, {Place: "ver", Text: "must be above 0"},
		},
	})
}
