package keeper

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

const (
	// ClaimShardCount is the number of shards of claims.
	ClaimShardCount = 1024
	// LeaseShardsPerZone is the number of shards of leases in each availability zone.
	LeaseShardsPerZone = 64
)

// Key identifies a claim or a lease slot. It is a SHA-256 hash truncated to 128 bits.
type Key [16]byte

// ClaimKey returns the key of the claim for a request.
func ClaimKey(workspace, route, idempotencyKey string) Key {
	return hashKey("claim", workspace, route, idempotencyKey)
}

// SlotKey returns the key of the lease on one slot of a cold upstream.
func SlotKey(upstream string, slot int) Key {
	return hashKey("slot", upstream, strconv.Itoa(slot))
}

func hashKey(parts ...string) Key {
	var data []byte
	for _, part := range parts {
		// The length prefix prevents collisions between different splits of the same bytes.
		data = binary.AppendUvarint(data, uint64(len(part)))
		data = append(data, part...)
	}
	sum := sha256.Sum256(data)
	return Key(sum[:16])
}

// Shard identifies a set of keys that the same group of VMs stores.
type Shard struct {
	// Lease is set for shards of leases.
	Lease bool
	// Zone is the availability zone of the upstream, empty for claims.
	Zone string
	// Index is less than ClaimShardCount or LeaseShardsPerZone.
	Index uint16
}

// ClaimShard returns the shard of a claim key.
func ClaimShard(key Key) Shard {
	return Shard{Index: binary.BigEndian.Uint16(key[:]) % ClaimShardCount}
}

// LeaseShard returns the shard of a slot key whose upstream is in zone.
func LeaseShard(zone string, key Key) Shard {
	return Shard{Lease: true, Zone: zone, Index: binary.BigEndian.Uint16(key[:]) % LeaseShardsPerZone}
}

func (s Shard) label() string {
	if s.Lease {
		return "lease/" + s.Zone + "/" + strconv.Itoa(int(s.Index))
	}
	return "claim/" + strconv.Itoa(int(s.Index))
}
