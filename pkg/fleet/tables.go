package fleet

import (
	"slices"
	"time"
)

// TableFormat is the version of the exchange of published items that VMs of this software state in their
// directory entries. Older versions state none, which is 0. What a VM of a lower format sends says nothing of
// the era of the store, so that its revisions cannot be compared.
const TableFormat = 1

const (
	// StoreReaderCount is the number of VMs of one table format that read the store in normal operation. The
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
	// all are those of all versions, and alike those whose tables this VM can merge.
	all, alike []Entry
}

// NewTablePeers returns the VMs for the one with the name from a ranking of all reachable VMs. It must include
// that one, unless it is leaving.
func NewTablePeers(self string, ranking []Entry) TablePeers {
	return TablePeers{self: self, all: ranking, alike: Alike(ranking)}
}

// Alike returns the VMs of a ranking whose tables a VM of this version can merge.
func Alike(ranking []Entry) []Entry {
	return slices.DeleteFunc(slices.Clone(ranking), func(e Entry) bool { return e.TableFormat < TableFormat })
}

// Role returns how the VM gets the tables, whose age is given; complete is set once it has any. Older VMs rely on
// the first ones of all, and this VM on the first ones of those alike: in a half-old fleet both groups have readers.
func (p TablePeers) Role(age time.Duration, complete bool) TableRole {
	rank := rankOf(p.self, p.alike)
	isReader := func(rank int) bool { return rank >= 0 && rank < StoreReaderCount }
	if isReader(rank) || isReader(rankOf(p.self, p.all)) || rankOf(p.self, KnownReaders(p.alike, StoreReaderCount)) >= 0 {
		return StoreReader
	}
	maxAge := StaleTablesAge
	if complete && AreReadersLost(p.alike, StoreReaderCount) {
		maxAge = lostReadersAge
	}
	step := min(readerAgeStep, maxReaderAge/time.Duration(max(len(p.alike), 1)))
	if age > maxAge+time.Duration(max(rank, 0))*step {
		return SubstituteReader
	}
	return TableFollower
}

// Readers returns the VMs that read the store for this one. VMs of a lower format come after those alike that
// are known to read it: what they send is no whole state.
func (p TablePeers) Readers() []Entry {
	if known := p.OtherReaders(); len(known) > 0 {
		return known
	}
	return Readers(p.alike, StoreReaderCount)
}

// OtherReaders returns the VMs other than this one that are known to read the store for it.
func (p TablePeers) OtherReaders() []Entry {
	for _, ranking := range [][]Entry{p.alike, p.all} {
		others := slices.DeleteFunc(slices.Clone(ranking), func(e Entry) bool { return e.Name == p.self })
		if known := KnownReaders(others, StoreReaderCount); len(known) > 0 {
			return known
		}
	}
	return nil
}

func rankOf(name string, ranking []Entry) int {
	return slices.IndexFunc(ranking, func(e Entry) bool { return e.Name == name })
}
