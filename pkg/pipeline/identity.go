package pipeline

// Identity identifies one attempt of a stage. It is unique across all gateways.
type Identity struct {
	// RequestID is unique for each request that a gateway receives.
	RequestID string
	// Stage is the name of the stage.
	Stage string
	// Attempt numbers the calls of the stage from 1, across all pools of a fan-out.
	Attempt int
}
