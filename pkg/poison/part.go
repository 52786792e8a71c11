package poison

import "github.com/cespare/xxhash/v2"

// Part identifies a part of a prompt that several requests may have in common.
type Part uint64

// PartOf returns the part with the given ID.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }
