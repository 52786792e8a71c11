package errkind

// RunState states whether a refused or failed request was executed.
type RunState uint8

const (
	// NotRun means that no byte of a non-idempotent call can have reached an upstream.
	NotRun RunState = iota
	// Unknown means that the request may have run.
	Unknown
	// Ran means that at least one stage of the request ran.
	Ran
)

var runStateNames = [...]string{NotRun: "not_run", Unknown: "unknown", Ran: "ran"}

// String returns the name used in problem documents.
func (s RunState) String() string {
	if int(s) < len(runStateNames) {
		return runStateNames[s]
	}
	return "unknown"
}
