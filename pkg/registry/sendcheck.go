package registry

// SendVerdict says whether a request may be sent to the upstream that was chosen for it.
type SendVerdict uint8

const (
	// SendAllowed means that the upstream still takes work.
	SendAllowed SendVerdict = iota
	// SendDraining means that the upstream is draining.
	SendDraining
	// SendRemoved means that the upstream is not registered any more.
	SendRemoved
	// SendMoved means that the upstream is registered in another pool or at another address.
	SendMoved
	// SendZoneOut means that the zone of the upstream is out of service.
	SendZoneOut
)

var sendVerdictNames = [...]string{
	SendAllowed: "allowed", SendDraining: "draining", SendRemoved: "removed", SendMoved: "moved", SendZoneOut: "zone_out",
}

func (v SendVerdict) String() string { return sendVerdictNames[v] }

// CheckSend decides just before a request is sent, from the entry by which its upstream was chosen and the entry
// that is registered under the ID now, or nil. Between the two, the tables may have changed while a connection was
// opened, another VM was asked, or the process stood still. Another upstream that takes work is not worse off, and
// without one the request is refused as one that arrives now would be.
func CheckSend(chosen, current *Entry, isZoneOut bool) SendVerdict {
	switch {
	case current == nil:
		return SendRemoved
	case current.Pool != chosen.Pool || current.Address != chosen.Address:
		return SendMoved
	case current.Draining:
		return SendDraining
	case isZoneOut:
		return SendZoneOut
	}
	return SendAllowed
}
