package operatorclient

import (
	"context"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/status"
)

// Status asks how the fleet stands: the primary, or with local whichever of Control answers first, for what that one
// knows itself. Errors: *Refused by one that knows no such call, *Unclear while there is no primary.
func (c *Client) Status(ctx context.Context, local bool) (*status.Fleet, Response, error) {
	call := externalapi.CallStatus
	if local {
		call.Path += "?" + externalapi.QueryLocal
	}
	response, err := c.do(ctx, call, nil, nil)
	if err != nil {
		return nil, response, err
	}
	f, err := status.Decode(response.Body)
	if err != nil {
		return nil, response, &IndeterminateError{errors.Wrap(err, response.Endpoint)}
	}
	return f, response, nil
}
