// Package metrics provides the root tally scope of a node and its Prometheus endpoint.
package metrics

import (
	"io"
	"net/http"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally reports its values to Prometheus.
const reportInterval = time.Second

// Registry holds the root scope of one node and the HTTP handler that exposes its metrics.
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
		// tally would report its internal metrics to an address that this process does not control.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops reporting.
func (r *Registry) Close() error { return r.closer.Close() }
