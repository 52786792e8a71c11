package edge

import (
	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

// maxEntryClaims bounds the claims that are accepted from one received entry.
const maxEntryClaims = 256

func entryToProto(e fleet.Entry) *hoistv1.DirectoryEntry {
	claims := make([]uint64, 0, len(e.Claims))
	for _, key := range e.Claims {
		claims = append(claims, uint64(key))
	}
	return &hoistv1.DirectoryEntry{
		Name: e.Name, Zone: e.Zone, Address: e.Address, Leaving: e.Leaving, StartedMs: e.Started, Version: e.Version,
		Capacity: e.Capacity, Claims: claims, StoreAccess: uint32(e.Store), Partitioned: e.Partitioned,
		TableFormat: e.WholeFormat(), LinkMbps: e.LinkMbps,
	}
}

func entryFromProto(e *hoistv1.DirectoryEntry) fleet.Entry {
	entry := fleet.Entry{
		Name: e.GetName(), Zone: e.GetZone(), Address: e.GetAddress(), Leaving: e.GetLeaving(), Started: e.GetStartedMs(),
		Version: e.GetVersion(), Capacity: e.GetCapacity(), Partitioned: e.GetPartitioned(), TableFormat: e.GetTableFormat(),
		LinkMbps: e.GetLinkMbps(),
	}
	if access := e.GetStoreAccess(); access <= uint32(fleet.LostStore) {
		entry.Store = fleet.StoreAccess(access)
	}
	claims := e.GetClaims()
	for _, key := range claims[:min(len(claims), maxEntryClaims)] {
		entry.Claims = append(entry.Claims, fleet.Key(key))
	}
	return entry
}

// redirectFromProto returns the owner that a peer named. A peer of an older version sends its name
// alone.
func redirectFromProto(name string, e *hoistv1.DirectoryEntry) fleet.Entry {
	if e == nil {
		return fleet.Entry{Name: name}
	}
	return entryFromProto(e)
}
