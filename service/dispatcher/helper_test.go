package dispatcher

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap/zaptest"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/ownership"
)

// Guards against tasks of this package that outlive their context.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testService = "notes"
	testDC      = "kolkata"
	testFence   = 3
)

var testCell = ownership.CellName(testService, testDC, 0, 1)

// fakeLoader answers with the reports of a latest value; an endpoint without a report cannot be read.
type fakeLoader struct {
	reports *latest.Value[map[string]message.LoadReport]
}

// Load implements Loader.
func (l fakeLoader) Load(_ context.Context, e message.Endpoint) (message.LoadReport, error) {
	report, ok := l.reports.Load()[e.ID]
	if !ok {
		return report, errors.New("connection refused")
	}
	report.Endpoint = e.ID
	return report, nil
}

// site is a dispatcher that owns one cell with the endpoints e1 and e2.
type site struct {
	dispatcher *Dispatcher
	config     *latest.Value[*config.Snapshot]
	hosts      *latest.Value[[]message.Host]
	holdings   *latest.Value[ownership.Holdings]
	loader     fakeLoader
	stop       func()
}

// startSite runs a dispatcher. The test must call stop before it ends.
func startSite(t *testing.T, options ...Option) *site {
	t.Helper()
	report := message.LoadReport{Incarnation: "a"}
	s := &site{
		config: latest.New(snapshot(false)),
		hosts: latest.New([]message.Host{
			{ID: "e1", Service: testService, DataCentre: testDC}, {ID: "e2", Service: testService, DataCentre: testDC},
		}),
		holdings: latest.New(ownership.Holdings{}),
		loader:   fakeLoader{latest.New(map[string]message.LoadReport{"e1": report, "e2": report})},
	}
	s.hold(time.Now().Add(time.Hour))
	s.dispatcher = New(zaptest.NewLogger(t), settings.Default().Dispatch, s.loader, s.config, s.hosts, s.holdings, options...)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.dispatcher.Run(ctx)
	}()
	s.stop = func() {
		cancel()
		<-done
	}
	return s
}

// hold publishes a hold on the cell that is confirmed until the given time.
func (s *site) hold(until time.Time) {
	s.holdings.Publish(ownership.Holdings{
		ByResource: map[string]ownership.Hold{testCell: {Fence: testFence, ActiveFrom: time.Now()}}, ValidUntil: until,
	})
}

func snapshot(out bool) *config.Snapshot {
	return config.NewSnapshot(1, []*config.Object{
		{
			Ref:     config.Ref{Kind: config.KindService, Name: testService},
			Service: &config.Service{Type: config.ServiceModel, ColdLimit: 1, MaxConcurrency: 4, Cells: 1},
		},
		{Ref: config.Ref{Kind: config.KindDataCentre, Name: testDC}, DataCentre: &config.DataCentre{Out: out}},
	})
}

// cell waits for the cell to run with fresh load reports.
func (s *site) cell() *Cell {
	time.Sleep(time.Second)
	return s.dispatcher.Cells().Load()[testCell]
}

func request(wait time.Duration) message.PlaceRequest {
	return message.PlaceRequest{Service: testService, Workspace: "w", MaxWait: wait}
}
