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
	testService    = "notes"
	testDataCentre = "kolkata"
	testFence      = 3
)

var testCell = ownership.CellName(testService, testDataCentre, 0, 1)

// fakeLoader returns the published reports, and an error for an endpoint without a report.
type fakeLoader struct {
	reports *latest.Value[map[string]message.LoadReport]
}

// ReadLoad implements Loader.
func (l fakeLoader) ReadLoad(_ context.Context, e message.Endpoint) (message.LoadReport, error) {
	report, ok := l.reports.Load()[e.ID]
	if !ok {
		return report, errors.New("connection refused")
	}
	report.Endpoint = e.ID
	return report, nil
}

// fixture is a dispatcher that owns one cell with the endpoints e1 and e2.
type fixture struct {
	dispatcher *Dispatcher
	config     *latest.Value[*config.Snapshot]
	hosts      *latest.Value[[]message.Host]
	holdings   *latest.Value[ownership.Holdings]
	loader     fakeLoader
	stop       func()
}

// startFixture runs a dispatcher. The test must call stop before it ends.
func startFixture(t *testing.T, options ...Option) *fixture {
	t.Helper()
	report := message.LoadReport{Incarnation: "a"}
	f := &fixture{
		config: latest.New(newSnapshot(false)),
		hosts: latest.New([]message.Host{
			{ID: "e1", Service: testService, DataCentre: testDataCentre},
			{ID: "e2", Service: testService, DataCentre: testDataCentre},
		}),
		holdings: latest.New(ownership.Holdings{}),
		loader:   fakeLoader{latest.New(map[string]message.LoadReport{"e1": report, "e2": report})},
	}
	f.publishHold(time.Now().Add(time.Hour))
	f.dispatcher = New(zaptest.NewLogger(t), settings.Default().Dispatch, f.loader, f.config, f.hosts, f.holdings, options...)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.dispatcher.Run(ctx)
	}()
	f.stop = func() {
		cancel()
		<-done
	}
	return f
}

// publishHold publishes a hold on the cell that is valid until the given time.
func (f *fixture) publishHold(until time.Time) {
	f.holdings.Publish(ownership.Holdings{
		ByResource: map[string]ownership.Hold{testCell: {Fence: testFence, ActiveFrom: time.Now()}}, ValidUntil: until,
	})
}

func newSnapshot(out bool) *config.Snapshot {
	return config.NewSnapshot(1, []*config.Object{
		{
			Ref:     config.Ref{Kind: config.KindService, Name: testService},
			Service: &config.Service{Type: config.ServiceTypeModel, ColdLimit: 1, MaxConcurrency: 4, Cells: 1},
		},
		{Ref: config.Ref{Kind: config.KindDataCentre, Name: testDataCentre}, DataCentre: &config.DataCentre{Out: out}},
	})
}

// waitForCell waits until the cell has load reports, and returns it.
func (f *fixture) waitForCell() *Cell {
	time.Sleep(time.Second)
	return f.dispatcher.Cells().Load()[testCell]
}

func newPlaceRequest(wait time.Duration) message.PlaceRequest {
	return message.PlaceRequest{Service: testService, Workspace: "w", MaxWait: wait}
}
