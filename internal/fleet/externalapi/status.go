package externalapi

import "net/http"

// CallStatus is how the fleet stands. With QueryLocal it is not passed on to the primary: the one asked tells what it knows.
var CallStatus = Call{Name: "status", Method: http.MethodGet, Path: "/molepaddle/status", ServedBy: ServedByControlPlane}

// QueryLocal is the query of a Status that is not passed on.
const QueryLocal = "local"
