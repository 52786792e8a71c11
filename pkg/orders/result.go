package orders

// ResultKind is the outcome of an order.
type ResultKind uint8

// Outcomes of an order.
const (
	// ResultAccepted means that the engine executes the order.
	ResultAccepted ResultKind = iota
	// ResultSuperseded means that the engine has received a higher fencing token.
	ResultSuperseded
	// ResultFailed means any other response, or none.
	ResultFailed
)

// Result is the result of an order.
type Result struct {
	Upstream string
	Fencing  uint64
	Kind     ResultKind
}

var resultKindNames = [...]string{ResultAccepted: "accepted", ResultSuperseded: "superseded", ResultFailed: "failed"}

// String returns the name used in logs.
func (k ResultKind) String() string {
	if int(k) < len(resultKindNames) {
		return resultKindNames[k]
	}
	return "unknown"
}
