package dispatcher

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/xxh3"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/decision/admission"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/ownership"
)

// Dispatcher is the task that runs a Cell for each cell that the node owns, and sends its endpoints to each Cell.
type Dispatcher struct {
	log      *zap.Logger
	settings settings.Dispatch
	loader   Loader
	config   *latest.Value[*config.Snapshot]
	hosts    *latest.Value[[]message.Host]
	holdings *latest.Value[ownership.Holdings]
	cells    *latest.Value[map[string]*Cell]

	scope         tally.Scope
	fenceObserver FenceObserver
	running       map[string]runningCell
	tasks         sync.WaitGroup
}

// runningCell is a started cell with the fence of its hold.
type runningCell struct {
	cell   *Cell
	fence  uint64
	cancel context.CancelFunc
}

// New returns a Dispatcher without cells.
func New(log *zap.Logger, s settings.Dispatch, loader Loader, current *latest.Value[*config.Snapshot],
	hosts *latest.Value[[]message.Host], holdings *latest.Value[ownership.Holdings], options ...Option,
) *Dispatcher {
	d := &Dispatcher{
		log: log, settings: s, loader: loader, config: current, hosts: hosts, holdings: holdings,
		cells: latest.New(map[string]*Cell{}), scope: tally.NoopScope, fenceObserver: noFenceObserver{},
		running: map[string]runningCell{},
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Cells returns the running cells by name.
func (d *Dispatcher) Cells() *latest.Value[map[string]*Cell] { return d.cells }

// Run starts and stops cells until ctx ends, and returns when all of them have ended.
func (d *Dispatcher) Run(ctx context.Context) {
	defer d.tasks.Wait()
	for {
		snapshot, configChanged := d.config.Watch()
		hosts, hostsChanged := d.hosts.Watch()
		holdings, holdingsChanged := d.holdings.Watch()
		d.reconcile(ctx, snapshot, hosts, holdings)
		select {
		case <-ctx.Done():
			return
		case <-configChanged:
		case <-hostsChanged:
		case <-holdingsChanged:
		}
	}
}

// reconcile starts and stops cells so that the running cells match the holdings.
func (d *Dispatcher) reconcile(ctx context.Context, s *config.Snapshot, hosts []message.Host, h ownership.Holdings) {
	for name, r := range d.running {
		if hold, ok := h.ByResource[name]; !ok || hold.Fence != r.fence {
			r.cancel()
			delete(d.running, name)
			d.log.Info("cell stopped", zap.String("cell", name))
		}
	}
	for _, o := range s.List(config.KindService) {
		for _, dc := range s.List(config.KindDataCentre) {
			for i := range o.Service.Cells {
				name := ownership.CellName(o.Name, dc.Name, i, o.Service.Cells)
				if hold, ok := h.ByResource[name]; ok {
					d.updateCell(ctx, name, dc.Name, hold, cellEndpoints(hosts, o, dc.Name, i))
				}
			}
		}
	}
	d.publish()
}

// updateCell starts a cell if it is not running, and sends its endpoints and parameters to it.
func (d *Dispatcher) updateCell(ctx context.Context, name, dataCentre string, hold ownership.Hold, m endpointsMessage) {
	m.params.StartWithin = d.settings.StartWithin
	m.params.MaxQueue = d.settings.MaxQueuePerCell
	m.params.LoadFailures = d.settings.EndpointFailures
	m.params.Policy = d.settings.Policy
	r, ok := d.running[name]
	if !ok {
		cellCtx, cancel := context.WithCancel(ctx)
		r = runningCell{cell: d.newCell(cellCtx, name, dataCentre, hold, m.params), fence: hold.Fence, cancel: cancel}
		d.running[name] = r
		d.tasks.Go(func() { r.cell.run() })
		d.log.Info("cell started", zap.String("cell", name), zap.Uint64("fence", hold.Fence))
	}
	_ = r.cell.messages.Send(ctx, m)
}

// newCell returns the task of a cell that this node owns under the given hold.
func (d *Dispatcher) newCell(ctx context.Context, name, dataCentre string, hold ownership.Hold,
	params admission.Params,
) *Cell {
	return &Cell{
		id: name, fence: hold.Fence, log: d.log, messages: mailbox.New[cellMessage](cellCapacity),
		ctx: ctx, done: make(chan struct{}),
		pollerTemplate: loadPoller{
			loader: d.loader, interval: d.settings.LoadInterval, timeout: d.settings.LoadTimeout,
		},
		authority: authoritySource{
			cell: name, fence: hold.Fence, dataCentre: dataCentre, config: d.config, holdings: d.holdings,
		},
		fenceObserver: d.fenceObserver, meter: newCellMeter(d.scope, name),
		admission: admission.NewCell(name, hold.Fence, hold.ActiveFrom, params),
		waiting:   map[uint64]placeMessage{}, pollerCancels: map[string]context.CancelFunc{},
	}
}

// publish publishes the running cells if they have changed.
func (d *Dispatcher) publish() {
	cells := make(map[string]*Cell, len(d.running))
	for name, r := range d.running {
		cells[name] = r.cell
	}
	if !maps.Equal(cells, d.cells.Load()) {
		d.cells.Publish(cells)
	}
}

// cellEndpoints returns the endpoints and parameters of one cell. The hash of its id assigns each endpoint to a cell.
func cellEndpoints(hosts []message.Host, service *config.Object, dataCentre string, index int) endpointsMessage {
	m := endpointsMessage{
		params: admission.Params{
			ColdLimit: service.Service.ColdLimit, WarmAfter: service.Service.WarmAfter,
			MaxConcurrency: service.Service.MaxConcurrency,
		},
		leaving: map[string]bool{},
	}
	for _, h := range hosts {
		if h.Node || h.Service != service.Name || h.DataCentre != dataCentre {
			continue
		}
		if int(xxh3.HashString(h.ID)%uint64(service.Service.Cells)) != index {
			continue
		}
		m.endpoints = append(m.endpoints, message.Endpoint{
			ID: h.ID, Address: h.Address, Service: h.Service, DataCentre: h.DataCentre,
		})
		if h.Leaving {
			m.leaving[h.ID] = true
		}
	}
	return m
}

// viewTimeout bounds the wait for the states of all cells.
const viewTimeout = time.Second

// Views returns the states of the running cells. A cell that does not reply within viewTimeout is left out.
func (d *Dispatcher) Views(ctx context.Context) []admission.View {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	var views []admission.View
	for _, c := range d.cells.Load() {
		if v, err := c.View(ctx); err == nil {
			views = append(views, v)
		}
	}
	return views
}
