package router

import (
	"context"
	"math/rand/v2"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Kinds of messages.
const (
	kindPlace  = "place.request"
	kindReport = "place.report"
)

// placeCall is the body of a place.request. The token is random and names this one placement request, so that a grant whose reply
// was late or lost can be returned.
type placeCall struct {
	Token   uint64               `cbor:"1,keyasint"`
	Request message.PlaceRequest `cbor:"2,keyasint"`
}

// ask asks the owner of one cell. After an error, a grant that was made is returned to its owner.
func (r *Router) ask(ctx context.Context, way route, req message.PlaceRequest) (message.PlaceReply, error) {
	if way.own != nil {
		return way.own.Place(ctx, req)
	}
	call := placeCall{Token: rand.Uint64(), Request: req}
	reply, err := peer.Call[placeCall, message.PlaceReply](ctx, r.options.Hub, way.owner.Address, kindPlace, call)
	if err == nil {
		if reply.Grant != nil && r.messages.Send(ctx, grantedMessage{owner: way.owner}) != nil {
			err = peer.ErrMayBeDelivered.Wrap(ctx.Err())
		} else {
			return reply, nil
		}
	}
	if !peer.ErrNotDelivered.Has(err) {
		r.cancel(ctx, way.owner, call.Token)
	}
	return message.PlaceReply{}, Error.Wrap(err)
}

// cancel has the grant of a placement request returned, if there is one. The caller may have given up, so the message is sent
// within a time of its own.
func (r *Router) cancel(ctx context.Context, owner message.Holding, token uint64) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer stop()
	r.handOver(ctx, owner.Resource, owner.Fence, owner, item{
		cell: owner.Resource, fence: owner.Fence, cancel: token,
	})
}
