package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/service/dispatcher"
	"azuredyke.dev/azuredyke/transport/peer"
)

const (
	// serverCapacity bounds the mailbox of a Server.
	serverCapacity = 4096
	// maxPlaceHandlers bounds the placement requests of other nodes that wait at this node. It suffices for a few cells with
	// full queues.
	maxPlaceHandlers = 8192
	// placementRetention is the time for which an answered or cancelled placement request is kept. A cancellation arrives
	// within the time to detect a dead link plus a few retries.
	placementRetention = time.Minute
	sweepInterval      = 10 * time.Second
	// maxPlacements bounds the placement requests that are kept. Further requests are refused as busy.
	maxPlacements = 65536
)

// Server is the task that serves the routers of other nodes, and releases grants that these routers never received.
type Server struct {
	log        *zap.Logger
	localCells localCells
	messages   mailbox.Mailbox[serverMessage]
	placements map[uint64]*remotePlacement
}

// remotePlacement is the state of one place.request from another node.
type remotePlacement struct {
	// cancel ends a placement that is still running.
	cancel    context.CancelFunc
	cancelled bool
	grant     *message.Grant
	expiresAt time.Time
}

// NewServer returns a Server for the cells of this node.
func NewServer(log *zap.Logger, local *latest.Value[map[string]*dispatcher.Cell]) *Server {
	return newServer(log, newLocalCells(local))
}

func newServer(log *zap.Logger, local localCells) *Server {
	return &Server{
		log: log, localCells: local, messages: mailbox.New[serverMessage](serverCapacity),
		placements: map[uint64]*remotePlacement{},
	}
}

// Run handles messages until ctx ends.
func (s *Server) Run(ctx context.Context) {
	mailbox.Serve(ctx, s.messages, sweepInterval, func(m serverMessage) { m.apply(s) }, s.sweep)
}

// sweep forgets the placements that have expired.
func (s *Server) sweep(now time.Time) {
	for token, p := range s.placements {
		if !p.expiresAt.IsZero() && now.After(p.expiresAt) {
			delete(s.placements, token)
		}
	}
}

// RegisterHandlers registers the handlers of a Server for the routers of other nodes. It must be called before the hub
// runs.
func RegisterHandlers(hub *peer.Hub, server *Server) {
	peer.Handle(hub, kindPlace, maxPlaceHandlers,
		func(ctx context.Context, _ string, call placeCall) (message.PlaceReply, error) {
			return server.place(ctx, call)
		})
	peer.Handle(hub, kindReport, 0, func(ctx context.Context, _ string, batch reportBatch) (bool, error) {
		return true, server.report(ctx, batch)
	})
}

// place serves one placement request. A grant is released if the request was cancelled or its caller no longer waits.
func (s *Server) place(ctx context.Context, call placeCall) (message.PlaceReply, error) {
	find, _ := s.localCells()
	local, ok := find(call.Request.Cell)
	if !ok {
		return newRefusal(verdict.ReasonNoOwner, "the node does not own the cell"), nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	refusal, err := mailbox.Call(ctx, s.messages, func(reply chan<- *message.Refusal) serverMessage {
		return beginMessage{token: call.Token, cancel: cancel, reply: reply}
	})
	if err != nil {
		return message.PlaceReply{}, Error.Wrap(err)
	}
	if refusal != nil {
		return message.PlaceReply{Refusal: refusal}, nil
	}
	reply, err := local.Place(ctx, call.Request)
	// The result is recorded even if the caller's context has ended, so that a later cancellation finds the grant.
	cleanupCtx, stopCleanup := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer stopCleanup()
	keep, settleErr := mailbox.Call(cleanupCtx, s.messages, func(keep chan<- bool) serverMessage {
		return settleMessage{token: call.Token, grant: reply.Grant, abandoned: ctx.Err() != nil, keep: keep}
	})
	if err != nil {
		return message.PlaceReply{}, Error.Wrap(err)
	}
	if reply.Grant != nil && (settleErr != nil || !keep) {
		return newRefusal(verdict.ReasonCancelled, "the request was withdrawn"), s.releaseGrant(cleanupCtx, *reply.Grant)
	}
	return reply, nil
}

// report applies the reports of another node. After an error the other node sends the whole batch again; the cells ignore
// repeated reports on grants that have ended.
func (s *Server) report(ctx context.Context, batch reportBatch) error {
	find, _ := s.localCells()
	for _, token := range batch.Cancels {
		grant, err := mailbox.Call(ctx, s.messages, func(reply chan<- *message.Grant) serverMessage {
			return cancelMessage{token: token, reply: reply}
		})
		if err != nil {
			return Error.Wrap(err)
		}
		if grant == nil {
			continue
		}
		if err := s.releaseGrant(ctx, *grant); err != nil {
			return err
		}
	}
	for _, report := range batch.Reports {
		if local, ok := find(report.Cell); ok {
			if err := local.Report(ctx, report); err != nil {
				return Error.Wrap(err)
			}
		}
	}
	return nil
}

// releaseGrant reports to the cell that a grant was not used.
func (s *Server) releaseGrant(ctx context.Context, g message.Grant) error {
	find, _ := s.localCells()
	local, ok := find(g.Cell)
	if !ok {
		return nil
	}
	return Error.Wrap(local.Report(ctx, message.GrantReport{
		Cell: g.Cell, Fence: g.Fence, Number: g.Number, Event: message.GrantUnused,
	}))
}
