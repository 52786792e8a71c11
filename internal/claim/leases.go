package claim

import (
	"context"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	keeperwire "github.com/hornbeamhoist/hornbeamhoist/internal/keeper"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// slotID is one slot of an upstream.
type slotID struct {
	upstream string
	index    int
}

// lease is a slot that the gateway holds or requests. Its fields are guarded by the
// Client's lock.
type lease struct {
	shard keeper.Shard
	slot  *keeper.SlotLease
	// pendingRelease is set when the slot is no longer wanted. The slot is then no longer
	// reported as held. The next SetWanted releases it unless requests in flight need it.
	pendingRelease bool
}

// Renew sets the wanted slots and returns the slots that the gateway holds, after a short
// wait for those that it has just requested.
func (c *Client) Renew(ctx context.Context, wants []dispatch.LeaseRequest) []dispatch.HeldLease {
	c.SetWanted(c.options.Now(), wants)
	wait := newTimer(renewTimeout)
	defer wait.Stop()
	for {
		answered, changed := c.allAnswered()
		if answered {
			return c.HeldLeases(c.options.Now())
		}
		select {
		case <-changed:
		case <-wait.C:
			return c.HeldLeases(c.options.Now())
		case <-ctx.Done():
			return c.HeldLeases(c.options.Now())
		}
	}
}

// allAnswered reports whether every requested slot is held by this gateway or another
// holder. The channel is closed after the next response.
func (c *Client) allAnswered() (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	for _, l := range c.leases {
		if !l.isHeld(now) && !l.slot.IsHeldByOther() {
			return false, c.leasesChanged
		}
	}
	return true, c.leasesChanged
}

// SetWanted replaces the set of wanted slots. LeaseRequest.Slots must include the slots
// that requests in flight use. Calls to keepers run in the background; call SetWanted
// every 100 ms.
func (c *Client) SetWanted(now clock.Instant, wants []dispatch.LeaseRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vmList.Revision == 0 {
		return
	}
	wanted := make(map[string]int, len(wants))
	for i := range wants {
		wanted[wants[i].Upstream] = wants[i].Slots
		c.requestSlots(now, &wants[i])
	}
	c.releaseSurplus(now, wanted)
	for _, l := range c.leases {
		l.slot.OnView(c.vmList.View(l.shard))
		if !l.pendingRelease {
			c.sendLeaseActions(l, l.slot.Tick(now))
		}
	}
}

// requestSlots requests slots until as many are held or requested as are wanted. The
// first slot to try depends on the VM, so that VMs rarely compete for one slot; a slot
// that another VM holds is dropped in favour of the next one.
func (c *Client) requestSlots(now clock.Instant, want *dispatch.LeaseRequest) {
	if want.Capacity <= 0 {
		return
	}
	start := int(rendezvous.Weight(want.Upstream, c.options.VM) % uint64(want.Capacity))
	ongoing := 0
	next := start
	for i := range want.Capacity {
		index := (start + i) % want.Capacity
		l := c.leases[slotID{want.Upstream, index}]
		switch {
		case l == nil:
		case l.slot.IsHeldByOther() && !l.isHeld(now):
			c.dropLease(slotID{want.Upstream, index}, l)
			next = index + 1
		default:
			ongoing++
		}
	}
	for i := range want.Capacity {
		id := slotID{want.Upstream, (next + i) % want.Capacity}
		if ongoing >= want.Slots {
			return
		}
		if c.leases[id] == nil {
			c.leases[id] = c.newLease(id, want.Zone)
			ongoing++
		}
	}
}

func (c *Client) newLease(id slotID, zone string) *lease {
	key := keeper.SlotKey(id.upstream, id.index)
	shard := keeper.LeaseShard(zone, key)
	return &lease{shard: shard, slot: keeper.NewSlotLease(keeper.SlotLeaseOptions{
		Shard: shard, Key: key, VM: c.options.VM, Incarnation: c.options.Incarnation,
		NextAttempt: c.attempts.nextNumber, LeaseDuration: c.options.LeaseDuration, Seed: c.nextSeed(),
	}, c.vmList.View(shard))}
}

// releaseSurplus releases slots that are not wanted, in two steps: the caller first sees
// fewer held slots, so that no request starts on a slot that is being released.
func (c *Client) releaseSurplus(now clock.Instant, wanted map[string]int) {
	kept := map[string]int{}
	keep := func(id slotID) bool {
		if kept[id.upstream] >= wanted[id.upstream] {
			return false
		}
		kept[id.upstream]++
		return true
	}
	var surplus []*lease
	for id, l := range c.leases {
		if !l.pendingRelease && l.isHeld(now) && !keep(id) {
			surplus = append(surplus, l)
		}
	}
	for id, l := range c.leases {
		if !l.pendingRelease || !l.isHeld(now) {
			continue
		}
		// Requests in flight may still need the slot.
		if l.pendingRelease = !keep(id); l.pendingRelease {
			c.sendLeaseActions(l, l.slot.Release())
			delete(c.leases, id)
		}
	}
	for id, l := range c.leases {
		if !l.isHeld(now) && (l.pendingRelease || !keep(id)) {
			c.dropLease(id, l)
		}
	}
	for _, l := range surplus {
		l.pendingRelease = true
	}
}

// dropLease drops a slot that is not held. A slot that was held before is not released
// but left to expire, since a request may still run on it.
func (c *Client) dropLease(id slotID, l *lease) {
	if !l.slot.WasAcquired() {
		c.sendLeaseActions(l, l.slot.Release())
	}
	delete(c.leases, id)
}

func (l *lease) isHeld(now clock.Instant) bool { return l.slot.UsableUntil().After(now) }

// HeldLeases returns the slots that the gateway holds at now, by upstream.
func (c *Client) HeldLeases(now clock.Instant) []dispatch.HeldLease {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := map[string]int{}
	var held []dispatch.HeldLease
	for id, l := range c.leases {
		until := l.slot.UsableUntil()
		if l.pendingRelease || !until.After(now) {
			continue
		}
		position, found := index[id.upstream]
		if !found {
			index[id.upstream] = len(held)
			held = append(held, dispatch.HeldLease{Upstream: id.upstream, Slots: 1, Until: until})
			continue
		}
		held[position].Slots++
		held[position].Until = min(held[position].Until, until)
	}
	return held
}

// sendLeaseActions executes the actions of a lease. It must be called with the lock held;
// the background calls acquire the lock again to process responses.
func (c *Client) sendLeaseActions(l *lease, actions []keeper.Action) {
	roundStart := l.slot.RoundStart()
	for _, action := range actions {
		address := c.knownVMs[action.To].AgentAddress
		if action.Kind == keeper.SendFinish {
			c.callKeeperAt(address, action.To, func(ctx context.Context, k hoistv1.KeeperClient) error {
				_, err := k.Finish(ctx, keeperwire.FromFinishRequest(action.Finish))
				return err
			}, func() {})
			continue
		}
		request := action.Claim
		c.callKeeperAt(address, action.To, func(ctx context.Context, k hoistv1.KeeperClient) error {
			message, err := k.Claim(ctx, keeperwire.FromClaimRequest(request))
			if err != nil {
				return err
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.sendLeaseActions(l, l.slot.OnClaim(request.Holder.Attempt, roundStart, keeperwire.ToClaimResponse(request, message)))
			close(c.leasesChanged)
			c.leasesChanged = make(chan struct{})
			return nil
		}, func() {})
	}
}
