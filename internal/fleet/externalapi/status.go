package externalapi

import "net/http"

// Status is how the fleet stands. With QueryLocal it is not passed on to the primary: the one asked tells what it knows.
var Status = Call{Name: "status", Method: http.MethodGet, Path: "/molepaddle/status", To: Control}

// QueryLocal is the query of a Status that is not passed on.
const QueryLocal = "local"
