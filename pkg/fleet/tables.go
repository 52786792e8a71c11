package fleet

import (
	"slices"
	"time"
)

const (
	// StoreReaderCount is the number of VMs that read the store in normal operation. The
	// others pull the tables from these, since each read is charged and the rate limits of the store grow more
	// slowly than the fleet.
	StoreReaderCount = 3
	// StaleTablesAge is the age at which the tables count as stale. It is longer than a watch and a held pull
	// without changes take together.
	StaleTablesAge = 1600 * time.Millisecond
	// lostReadersAge is the age from which on other VMs read the store if all its readers say that they
	// have lost it. It is longer than a watch.
	lostReadersAge = 800 * time.Millisecond
	// readerAgeStep is the additional age of the tables at which each further VM in the ranking starts to read
	// the store, so that after an outage they do not all start at once.
	readerAgeStep = 40 * time.Millisecond
	// maxReaderAge bounds that additional age. Otherwise the last ones of a large fleet, or all real VMs if the
	// directory is full of entries that are none, would wait longer than keys stay valid.
	maxReaderAge = 2 * time.Second
)

// TableRole says how a VM gets the tables.
type TableRole uint8

const (
	// TableFollower pulls them from another VM.
	TableFollower TableRole = iota
	// StoreReader reads the store for itself and others.
	StoreReader
	// SubstituteReader reads the store because no VM has newer tables.
	SubstituteReader
)

// TablePeers are the VMs among which one gets the tables, in order of preference as readers of the store.
type TablePeers struct {
	self string
	all  []Entry
}

// NewTablePeers returns the VMs for the one with the name from a ranking of all reachable VMs. It must include
// that one, unless it is leaving.
func NewTablePeers(self string, ranking []Entry) TablePeers {
	return TablePeers{self: self, all: ranking}
}

// Role returns how the VM gets the tables, whose age is given; complete is set once it has any.
func (p TablePeers) Role(age time.Duration, complete bool) TableRole {
	rank := rankOf(p.self, p.all)
	if (rank >= 0 && rank < StoreReaderCount) || rankOf(p.self, KnownReaders(p.all, StoreReaderCount)) >= 0 {
		return StoreReader
	}
	maxAge := StaleTablesAge
	if complete && AreReadersLost(p.all, StoreReaderCount) {
		maxAge = lostReadersAge
	}
	step := min(readerAgeStep, maxReaderAge/time.Duration(max(len(p.all), 1)))
	if age > maxAge+time.Duration(max(rank, 0))*step {
		return SubstituteReader
	}
	return TableFollower
}

// Readers returns the VMs that read the store for this one.
func (p TablePeers) Readers() []Entry {
	if known := p.OtherReaders(); len(known) > 0 {
		return known
	}
	return Readers(p.all, StoreReaderCount)
}

// OtherReaders returns the VMs other than this one that are known to read the store for it.
func (p TablePeers) OtherReaders() []Entry {
	others := slices.DeleteFunc(slices.Clone(p.all), func(e Entry) bool { return e.Name == p.self })
	return KnownReaders(others, StoreReaderCount)
}

func rankOf(name string, ranking []Entry) int {
	return slices.IndexFunc(ranking, func(e Entry) bool { return e.Name == name })
}
