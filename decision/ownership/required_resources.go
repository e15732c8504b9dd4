package ownership

import "azuredyke.dev/azuredyke/decision/config"

// RequiredResources returns the names of the resources that must have an owner under a configuration: every claim shard, and
// the cells of every service in every data centre. Cells in data centres that are out keep their owners, since running work
// still reports to the owner.
func RequiredResources(s *config.Snapshot) []string {
	var names []string
	for shard := range ClaimShards {
		names = append(names, ClaimShardName(shard))
	}
	for _, service := range s.List(config.KindService) {
		for _, dataCentre := range s.List(config.KindDataCentre) {
			for i := range service.Service.Cells {
				names = append(names, CellName(service.Name, dataCentre.Name, i, service.Service.Cells))
			}
		}
	}
	return names
}
