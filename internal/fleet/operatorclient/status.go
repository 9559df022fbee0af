package operatorclient

import (
	"context"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/status"
)

// Status returns the fleet's status according to the primary, or, with local, according to the first of Endpoints that
// answers. Errors: *RejectedError from a control server that doesn't have this call, *IndeterminateError if there is no
// primary or the status can't be decoded.
func (c *Client) Status(ctx context.Context, local bool) (*status.Fleet, Response, error) {
	call := externalapi.CallStatus
	if local {
		call.Path += "?" + externalapi.QueryLocal
	}
	response, err := c.do(ctx, call, nil, nil)
	if err != nil {
		return nil, response, err
	}
	fleet, err := status.Decode(response.Body)
	if err != nil {
		return nil, response, &IndeterminateError{LastErr: errors.Wrap(err, response.Endpoint), Sent: true}
	}
	return fleet, response, nil
}
