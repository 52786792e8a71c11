package membership

// refutationBits is the width of the refutation counter in an Incarnation. The
// remaining 44 bits hold a process start time in milliseconds for 550 years.
const refutationBits = 20

// Incarnation orders updates about a VM. The upper bits identify a process start, so
// that a restarted process is distinguished from its predecessor; the lower bits count
// the suspicions that the process has refuted.
type Incarnation uint64

// NewIncarnation returns the first incarnation of a process that started at the
// given time in milliseconds since the Unix epoch.
func NewIncarnation(startMillis uint64) Incarnation {
	return Incarnation(startMillis << refutationBits)
}

// ProcessStart returns the part that identifies the process start.
func (i Incarnation) ProcessStart() uint64 { return uint64(i >> refutationBits) }

// after returns the lowest incarnation of the same process start that is above other.
// If other has a later process start, which happens when the wall clock was set back
// between two starts, the result uses the start value that follows it.
func (i Incarnation) after(other Incarnation) Incarnation {
	if other < i {
		return i
	}
	if other.ProcessStart() > i.ProcessStart() {
		return Incarnation((other.ProcessStart() + 1) << refutationBits)
	}
	return other + 1
}
