package errkind

// Error is a refusal or failure of a request with its kind and run state.
type Error struct {
	// Kind is the reason for the refusal or failure.
	Kind Kind
	// RunState is at least the default run state of the kind.
	RunState RunState
	// Detail describes this occurrence; it must not contain request content.
	Detail string
}

// New returns an error with the kind's default run state.
func New(kind Kind, detail string) *Error {
	return &Error{Kind: kind, RunState: kind.Response().RunState, Detail: detail}
}

// RaiseRunState returns a copy of e whose run state is at least state.
func (e *Error) RaiseRunState(state RunState) *Error {
	raised := *e
	raised.RunState = max(e.RunState, state)
	return &raised
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Detail }
