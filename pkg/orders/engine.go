package orders

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// EngineState is the state that an engine last reported.
type EngineState struct {
	// Model is the model that the engine serves, or loads if Loading is set. It is empty if
	// there is none.
	Model table.Model
	// Loading is set while the engine loads weights and cannot serve.
	Loading bool
	// Cold is set during the cold start of the engine.
	Cold bool
	// InFlight is the number of requests that the engine is executing.
	InFlight int
	// Observed is when the state was read.
	Observed clock.Instant
}

// serving reports whether the engine can serve at full capacity.
func (s EngineState) serving() bool { return !s.Loading && !s.Cold }
