package experiment

import (
	"azuredyke.dev/azuredyke/common/keyhash"
	"azuredyke.dev/azuredyke/decision/config"
)

// plainMaxConcurrency is the limit on concurrent requests per endpoint of the plain service.
const plainMaxConcurrency = 64

// objects returns the configuration objects of a scenario. Each object comes after the objects that it refers to.
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
			Type: config.ServiceTypeModel, Models: []string{s.Workload.Model}, ColdLimit: max(1, s.Engine.ColdLimit),
			MaxConcurrency: s.Engine.MaxConcurrency, Cells: 1, QueueTimeout: queueTimeout,
		},
	})
	if s.Workload.Orders.Service != "" {
		objects = append(objects, &config.Object{
			Ref: config.Ref{Kind: config.KindService, Name: s.Workload.Orders.Service},
			Service: &config.Service{
				Type: config.ServiceTypePlain, ColdLimit: plainMaxConcurrency, MaxConcurrency: plainMaxConcurrency, Cells: 1,
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
