package operatorclient

import (
	"context"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/status"
)

// Status asks how the fleet stands: the primary, or with local whichever of Control answers first, for what that one
// knows itself. Errors: *Refused by one that knows no such call, *Unclear while there is no primary.
func (c *Client) Status(ctx context.Context, local bool) (*status.Fleet, Answer, error) {
	call := externalapi.Status
	if local {
		call.Path += "?" + externalapi.QueryLocal
	}
	answer, err := c.call(ctx, call, nil, nil)
	if err != nil {
		return nil, answer, err
	}
	f, err := status.Decode(answer.Body)
	if err != nil {
		return nil, answer, &Unclear{errors.Wrap(err, answer.From)}
	}
	return f, answer, nil
}
