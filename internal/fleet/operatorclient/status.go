package operatorclient

import (
	"context"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/status"
)

// Status asks the primary for the fleet's status, or with local whichever of Endpoints answers first, for what that
// one knows itself. Errors: *RejectedError by a control server that knows no such call, *IndeterminateError while
// there is no primary or the status can't be decoded.
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
