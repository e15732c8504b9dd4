package dispatch

import (
	"math/rand/v2"

	"azuredyke.dev/azuredyke/decision/placement"
	"azuredyke.dev/azuredyke/decision/speed"
)

// speedState is what a table needs to choose endpoints by their speed.
type speedState struct {
	// usual holds the usual times by service.
	usual map[string]*speed.Service
	// stated contains the services whose endpoints state the speed of their hosts.
	stated map[string]bool

	engine, strictEngine, plain, backup *placement.Policy
}

func newSpeedState(random *rand.Rand) speedState {
	return speedState{
		usual: map[string]*speed.Service{}, stated: map[string]bool{},
		engine: placement.NewEngineSpeedPolicy(random, false), strictEngine: placement.NewEngineSpeedPolicy(random, true),
		plain: placement.NewPlainSpeedPolicy(random), backup: placement.NewBackupSpeedPolicy(random),
	}
}

// of returns the usual times of a service.
func (s *speedState) of(service string) *speed.Service {
	usual := s.usual[service]
	if usual == nil {
		usual = &speed.Service{}
		s.usual[service] = usual
	}
	return usual
}

// recordStatement records that endpoints of a service state the speed of their hosts.
func (s *speedState) recordStatement(service string) {
	s.stated[service] = true
}
