package proxy

import (
	"context"

	"github.com/cespare/xxhash/v2"
)

// servePlain serves a request whose response is relayed once it is complete: it tries one backend after another until
// one answers. The error is why none did.
func (cr *clientRequest) servePlain(ctx context.Context) error {
	key := xxhash.Sum64String(cr.outbound.id)
	for {
		permit, ok := cr.svc.selectPlain(key, cr.retryable(), cr.tried, cr.terms())
		if !ok {
			return errNoBackend
		}
		cr.tried[permit.ID()] = true
		sends := cr.sends
		err := cr.sendPlain(ctx, permit)
		if err == nil {
			return nil
		}
		if over := cr.checkRetry(ctx, nil); over != nil {
			return over
		}
		if cr.canReroute(sends) {
			continue
		}
		if !cr.takeRetry() {
			return attemptFailure(err)
		}
	}
}
