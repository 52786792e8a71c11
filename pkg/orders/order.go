package orders

import "github.com/hornbeamhoist/hornbeamhoist/pkg/table"

// Order instructs an engine to load a model.
type Order struct {
	// Pool is the pool of the engine.
	Pool string
	// Upstream is the name of the engine.
	Upstream string
	// Address is the engine's IP:port.
	Address string
	// Model is the model to load.
	Model table.Model
	// Fencing is the fencing token: the revision of the pools table from which the order
	// is derived. An engine that supports fencing rejects tokens below the highest that it
	// has received.
	Fencing uint64
}
