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
	// serverCapacity bounds the waiting messages of a Server.
	serverCapacity = 4096
	// placeHandlers bounds the placements of other nodes that wait at this node: a few cells with full queues.
	placeHandlers = 8192
	// rememberFor is how long an answered or cancelled placement request is remembered. A cancellation arrives within the
	// dead time of a link and a few retries.
	rememberFor   = time.Minute
	sweepInterval = 10 * time.Second
	// maxPending bounds the remembered placement requests; beyond it, further ones are refused as busy.
	maxPending = 65536
)

// Server is the task that serves the routers of other nodes and returns grants that they never received.
type Server struct {
	log      *zap.Logger
	cells    cells
	messages mailbox.Mailbox[serverMessage]
	pending  map[uint64]*pendingPlacement
}

// pendingPlacement is one place.request of another node.
type pendingPlacement struct {
	// stop ends the placement while it runs.
	stop      context.CancelFunc
	cancelled bool
	grant     *message.Grant
	forgetAt  time.Time
}

// NewServer returns a Server for the cells of this node.
func NewServer(log *zap.Logger, own *latest.Value[map[string]*dispatcher.Cell]) *Server {
	return newServer(log, ownCells(own))
}

func newServer(log *zap.Logger, own cells) *Server {
	return &Server{
		log: log, cells: own, messages: mailbox.New[serverMessage](serverCapacity), pending: map[uint64]*pendingPlacement{},
	}
}

// Run handles messages until ctx ends.
func (r *Server) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.messages.Receive():
			m.apply(r)
		case now := <-sweep.C:
			for token, q := range r.pending {
				if !q.forgetAt.IsZero() && now.After(q.forgetAt) {
					delete(r.pending, token)
				}
			}
		}
	}
}

// RegisterHandlers serves the routers of other nodes. It must be called before the hub runs.
func RegisterHandlers(hub *peer.Hub, r *Server) {
	peer.Handle(hub, kindPlace, placeHandlers, func(ctx context.Context, _ string, q placeCall) (message.PlaceReply, error) {
		return r.place(ctx, q)
	})
	peer.Handle(hub, kindReport, 0, func(ctx context.Context, _ string, q reportBatch) (bool, error) {
		return true, r.report(ctx, q)
	})
}

// place serves one placement request. A grant is returned to the cell when nobody waits for it any more.
func (r *Server) place(ctx context.Context, q placeCall) (message.PlaceReply, error) {
	find, _ := r.cells()
	own, ok := find(q.Request.Cell)
	if !ok {
		return refused(verdict.ReasonNoOwner, "the node does not own the cell"), nil
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	refusal, err := mailbox.Call(ctx, r.messages, func(reply chan<- *message.Refusal) serverMessage {
		return beginMessage{token: q.Token, stop: stop, reply: reply}
	})
	if err != nil {
		return message.PlaceReply{}, Error.Wrap(err)
	}
	if refusal != nil {
		return message.PlaceReply{Refusal: refusal}, nil
	}
	reply, err := own.Place(ctx, q.Request)
	// The task must learn the result even when the caller has given up.
	settle, stopSettle := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer stopSettle()
	keep, settleErr := mailbox.Call(settle, r.messages, func(keep chan<- bool) serverMessage {
		return settleMessage{token: q.Token, grant: reply.Grant, abandoned: ctx.Err() != nil, keep: keep}
	})
	if err != nil {
		return message.PlaceReply{}, Error.Wrap(err)
	}
	if reply.Grant != nil && (settleErr != nil || !keep) {
		return refused(verdict.ReasonCancelled, "the request was withdrawn"), r.giveBack(settle, *reply.Grant)
	}
	return reply, nil
}

// report applies the reports of another node. An error has the whole batch sent again, which the cells ignore for grants
// that have ended.
func (r *Server) report(ctx context.Context, batch reportBatch) error {
	find, _ := r.cells()
	for _, token := range batch.Cancels {
		grant, err := mailbox.Call(ctx, r.messages, func(reply chan<- *message.Grant) serverMessage {
			return cancelMessage{token: token, reply: reply}
		})
		if err != nil {
			return Error.Wrap(err)
		}
		if grant == nil {
			continue
		}
		if err := r.giveBack(ctx, *grant); err != nil {
			return err
		}
	}
	for _, report := range batch.Reports {
		if own, ok := find(report.Cell); ok {
			if err := own.Report(ctx, report); err != nil {
				return Error.Wrap(err)
			}
		}
	}
	return nil
}

// giveBack returns a grant unused.
func (r *Server) giveBack(ctx context.Context, g message.Grant) error {
	find, _ := r.cells()
	own, ok := find(g.Cell)
	if !ok {
		return nil
	}
	return Error.Wrap(own.Report(ctx, message.GrantReport{
		Cell: g.Cell, Fence: g.Fence, Number: g.Number, Event: message.GrantUnused,
	}))
}
