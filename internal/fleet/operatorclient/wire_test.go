package operatorclient

import (
	"net/http"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/routingconfig"
)

// TestWireBytesOfRefusal parses a control server's rejection from the golden file of package controlplane.
func TestWireBytesOfRefusal(t *testing.T) {
	c := qt.New(t)
	body, err := os.ReadFile("../controlplane/testdata/wire/refusal.json")
	c.Assert(err, qt.IsNil)
	got := parseRejection(http.StatusBadRequest, Response{Endpoint: "10.0.0.1:8166", Body: body})
	c.Check(got, qt.DeepEquals, &RejectedError{
		Status: http.StatusBadRequest, Endpoint: "10.0.0.1:8166", Reason: "the configuration is invalid",
		Findings: routingconfig.Findings{
			{Path: "routing[0].pfx", Message: "must begin and end with a slash"}, {Path: "ver", Message: "must be above 0"},
		},
	})
}
