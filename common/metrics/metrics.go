// Package metrics provides the tally scope of the process and its Prometheus page.
package metrics

import (
	"io"
	"net/http"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally hands its values to the Prometheus reporter.
const reportInterval = time.Second

// Registry is the root scope of one node and the HTTP handler that shows it.
type Registry struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewRegistry returns a registry with the prefix "azuredyke". Close it when the node stops.
func NewRegistry() *Registry {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: prometheus.HistogramTimerType,
		OnRegisterError:  func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "azuredyke",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		// tally's own counters would report to an address outside the process's control.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops reporting.
func (r *Registry) Close() error { return r.closer.Close() }
