package hosted

import (
	"context"

	"cicadastand.dev/core/coord/origin"
	"cicadastand.dev/core/coord/place"
	"cicadastand.dev/core/coord/quota"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/site"
)

// What other hosts do for this one goes through the share service, which is built after the
// components that ask for it.

// Forward has another host serve a request.
func (h *Host) Forward(ctx context.Context, req call.Forwarded) (*call.ForwardedResponse, error) {
	return h.share.Forward(ctx, req)
}

// CopyOrigins has other hosts hold copies of origins of streams.
func (h *Host) CopyOrigins(ctx context.Context, origins []feed.Origin) error {
	return h.share.CopyOrigins(ctx, origins)
}

// AskOrigin returns what hosts say of the origin of a stream.
func (h *Host) AskOrigin(ctx context.Context, service string, stream feed.StreamKey) []origin.Statement {
	return h.share.AskOrigin(ctx, service, stream)
}

// Place asks the hub of the failure domain to place a request.
func (h *Host) Place(ctx context.Context, q place.Query) (place.Decision, bool) {
	return h.share.Place(ctx, q)
}

// Spend charges a request to the limit of its account.
func (h *Host) Spend(ctx context.Context, account string, limit site.Limit, units float64) quota.Decision {
	return h.share.Spend(ctx, account, limit, units)
}

// ReturnUnits gives back the units of a request that has not run.
func (h *Host) ReturnUnits(account string, d quota.Decision, units float64) {
	h.share.ReturnUnits(account, d, units)
}
