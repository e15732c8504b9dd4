package development

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/keyhash"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/service/configuration"
)

// siteObjects returns the configuration of a development site. Objects follow the objects to which they refer.
func siteObjects() []*config.Object {
	objects := []*config.Object{
		{Ref: config.Ref{Kind: config.KindModel, Name: Model}, Model: &config.Model{Version: "1"}},
	}
	for _, dc := range dataCentres {
		objects = append(objects, &config.Object{
			Ref: config.Ref{Kind: config.KindDataCentre, Name: dc}, DataCentre: &config.DataCentre{Region: "local"},
		})
	}
	return append(objects,
		&config.Object{Ref: config.Ref{Kind: config.KindService, Name: Model}, Service: &config.Service{
			Type: config.ServiceTypeModel, Models: []string{Model}, ColdLimit: 2, MaxConcurrency: 16, Cells: 1,
			QueueTimeout: 10 * time.Second,
		}},
		&config.Object{Ref: config.Ref{Kind: config.KindService, Name: PlainService}, Service: &config.Service{
			Type: config.ServiceTypePlain, ColdLimit: 4, MaxConcurrency: 64, Cells: 1, QueueTimeout: 5 * time.Second,
		}},
		&config.Object{Ref: config.Ref{Kind: config.KindWorkspace, Name: "dev"}, Workspace: &config.Workspace{
			KeyHashes: []string{keyhash.Of(WorkspaceKey)}, Weight: 1,
		}},
	)
}

// seed writes the configuration of a development site to the key-value service.
func seed(ctx context.Context, kv backing.KV) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	manager := configuration.NewManager(zap.NewNop())
	changer := configuration.NewChanger(zap.NewNop(), kv, manager)
	go manager.Run(ctx)
	go changer.Run(ctx)
	for _, o := range siteObjects() {
		_, err := changer.Change(ctx, config.Change{
			Ref: o.Ref, Proposed: o, OperationID: "seed-" + o.Ref.String(), Actor: "azuredyked dev",
			Reason: "development site",
		})
		if err != nil {
			return Error.New("%s: %w", o.Ref, err)
		}
	}
	return nil
}
