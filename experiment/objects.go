package experiment

import (
	"azuredyke.dev/azuredyke/common/keyhash"
	"azuredyke.dev/azuredyke/decision/config"
)

// plainConcurrency is the number of requests that an endpoint of the plain service bears at once.
const plainConcurrency = 64

// objects returns the configuration of a scenario, in the order in which objects refer to each other.
func (s Scenario) objects() []*config.Object {
	objects := []*config.Object{
		{Ref: config.Ref{Kind: config.KindModel, Name: s.Workload.Model}, Model: &config.Model{Version: "1"}},
	}
	for _, dc := range s.DataCentres {
		objects = append(objects, dataCentreObject(dc.Name, s.Name, false))
	}
	objects = append(objects, &config.Object{
		Ref: config.Ref{Kind: config.KindService, Name: s.Workload.Model},
		Service: &config.Service{
			Type: config.ServiceModel, Models: []string{s.Workload.Model}, ColdLimit: max(1, s.Engine.ColdLimit),
			MaxConcurrency: s.Engine.MaxConcurrency, Cells: 1, QueueTimeout: queueTimeout,
		},
	})
	if s.Workload.Orders.Service != "" {
		objects = append(objects, &config.Object{
			Ref: config.Ref{Kind: config.KindService, Name: s.Workload.Orders.Service},
			Service: &config.Service{
				Type: config.ServicePlain, ColdLimit: plainConcurrency, MaxConcurrency: plainConcurrency, Cells: 1,
				QueueTimeout: queueTimeout,
			},
		})
	}
	for _, w := range s.Workload.Workspaces {
		objects = append(objects, &config.Object{
			Ref:       config.Ref{Kind: config.KindWorkspace, Name: w.Name},
			Workspace: &config.Workspace{KeyHashes: []string{keyhash.Of(w.Key)}, Priority: w.Priority, Weight: 1},
		})
	}
	return objects
}

func dataCentreObject(name, region string, out bool) *config.Object {
	return &config.Object{
		Ref: config.Ref{Kind: config.KindDataCentre, Name: name}, DataCentre: &config.DataCentre{Region: region, Out: out},
	}
}
