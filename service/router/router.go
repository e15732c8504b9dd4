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

// routerCapacity bounds the waiting messages of a Router; further placements wait, further summaries are dropped.
const routerCapacity = 4096

// Router sends placement requests and reports of grants to the owners of cells.
type Router struct {
	log      *zap.Logger
	options  Options
	config   *latest.Value[*config.Snapshot]
	cells    cells
	messages mailbox.Mailbox[routerMessage]
	// senders holds the sender of each owner's address.
	senders *latest.Value[map[string]*sender]

	ctx    context.Context
	loads  *routing.LoadTable
	owners map[string]message.Holding
	tasks  sync.WaitGroup
}

// New returns a Router. It works while Run runs.
func New(log *zap.Logger, o Options, current *latest.Value[*config.Snapshot],
	own *latest.Value[map[string]*dispatcher.Cell],
) *Router {
	return newRouter(log, o, current, ownCells(own))
}

func newRouter(log *zap.Logger, o Options, current *latest.Value[*config.Snapshot], own cells) *Router {
	if o.Members == nil {
		alone := membership.NewView(membership.Member{}, membership.Params{}, nil)
		o.Members = latest.New(alone.Table())
	}
	return &Router{
		log: log, options: o, config: current, cells: own, messages: mailbox.New[routerMessage](routerCapacity),
		senders: latest.New(map[string]*sender{}), owners: map[string]message.Holding{},
		loads: routing.NewLoadTable(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// Run handles messages until ctx ends. The reports that were not delivered by then are lost.
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

// senderTo returns the sender to an owner and starts it if needed.
func (r *Router) senderTo(owner message.Holding) *sender {
	current := r.senders.Load()
	if o, ok := current[owner.Address]; ok {
		return o
	}
	o := newSender(r, owner)
	next := maps.Clone(current)
	next[owner.Address] = o
	r.senders.Publish(next)
	r.tasks.Go(func() { o.run(r.ctx) })
	return o
}
