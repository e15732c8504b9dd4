package router

import (
	"context"
	"math/rand/v2"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Kinds of requests to other nodes.
const (
	kindPlace  = "place.request"
	kindReport = "place.report"
)

// placeCall is the body of a place.request. The random token identifies this placement request, so that its grant can be
// released when the reply was late or lost.
type placeCall struct {
	Token   uint64               `cbor:"1,keyasint"`
	Request message.PlaceRequest `cbor:"2,keyasint"`
}

// requestPlacement requests a grant from the owner of one cell. After an error, requestPlacement queues
// the release of a grant that the owner may have made.
func (r *Router) requestPlacement(ctx context.Context, rt route, req message.PlaceRequest) (message.PlaceReply, error) {
	if rt.local != nil {
		return rt.local.Place(ctx, req)
	}
	call := placeCall{Token: rand.Uint64(), Request: req}
	reply, err := peer.Call[placeCall, message.PlaceReply](ctx, r.options.Hub, rt.owner.Address, kindPlace, call)
	if err == nil {
		if reply.Grant != nil && r.messages.Send(ctx, grantedMessage{owner: rt.owner}) != nil {
			err = peer.ErrMayBeDelivered.Wrap(ctx.Err())
		} else {
			return reply, nil
		}
	}
	if !peer.ErrNotDelivered.Has(err) {
		r.cancelPlacement(ctx, rt.owner, call.Token)
	}
	return message.PlaceReply{}, Error.Wrap(err)
}

// cancelPlacement queues the cancellation of a placement request, after which the owner releases a grant that it made. The
// context of the caller may have ended, so the cancellation has its own timeout.
func (r *Router) cancelPlacement(ctx context.Context, owner message.Holding, token uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	r.enqueueDelivery(ctx, owner.Resource, owner.Fence, owner, delivery{
		cell: owner.Resource, fence: owner.Fence, cancel: token,
	})
}
