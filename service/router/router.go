package router

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/decision/routing"
	"azuredyke.dev/azuredyke/service/dispatcher"
)

// Error is the class of the errors of this package.
var Error = errs.Class("router")

// routerCapacity bounds the mailbox of a Router. When the mailbox is full, placements wait and cell summaries are dropped.
const routerCapacity = 4096

// Router sends placement requests and grant reports to the owners of cells.
type Router struct {
	log        *zap.Logger
	options    Options
	config     *latest.Value[*config.Snapshot]
	localCells localCells
	messages   mailbox.Mailbox[routerMessage]
	// senders holds the senders by the address of the owner.
	senders *latest.Value[map[string]*sender]

	ctx    context.Context
	loads  *routing.LoadTable
	owners map[string]message.Holding
	tasks  sync.WaitGroup
}

// New returns a Router, which serves calls while Run runs.
func New(log *zap.Logger, o Options, current *latest.Value[*config.Snapshot],
	local *latest.Value[map[string]*dispatcher.Cell],
) *Router {
	return newRouter(log, o, current, newLocalCells(local))
}

func newRouter(log *zap.Logger, o Options, current *latest.Value[*config.Snapshot], local localCells) *Router {
	if o.Members == nil {
		selfOnly := membership.NewView(membership.Member{}, membership.Params{}, nil)
		o.Members = latest.New(selfOnly.Table())
	}
	return &Router{
		log: log, options: o, config: current, localCells: local, messages: mailbox.New[routerMessage](routerCapacity),
		senders: latest.New(map[string]*sender{}), owners: map[string]message.Holding{},
		loads: routing.NewLoadTable(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// Run handles messages until ctx ends. Reports that are still queued are then lost.
func (r *Router) Run(ctx context.Context) {
	r.ctx = ctx
	defer r.tasks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.messages.Receive():
			m.apply(r)
		}
	}
}

// ensureSender returns the sender to an owner, and starts one if there is none.
func (r *Router) ensureSender(owner message.Holding) *sender {
	current := r.senders.Load()
	if s, ok := current[owner.Address]; ok {
		return s
	}
	s := newSender(r, owner)
	next := maps.Clone(current)
	next[owner.Address] = s
	r.senders.Publish(next)
	r.tasks.Go(func() { s.run(r.ctx) })
	return s
}
