package membership

// Message is a Probe or an Ack.
type Message interface{ message() }

// Probe asks the receiver for an Ack. If Target is set, it asks the receiver to probe
// that VM and to report the result.
type Probe struct {
	From        string
	To          string
	Incarnation Incarnation
	Sequence    uint64
	Target      string
	Updates     []Update
}

// Ack answers a Probe with the same Sequence.
type Ack struct {
	From        string
	To          string
	Incarnation Incarnation
	Sequence    uint64
	// TargetAlive reports, for a Probe with a Target, whether the target answered.
	TargetAlive bool
	Updates     []Update
}

func (Probe) message() {}
func (Ack) message()   {}
