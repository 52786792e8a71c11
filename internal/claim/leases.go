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

// lease is a slot that the gateway holds or tries to get. Its fields are guarded
// by the Client's lock.
type lease struct {
	shard keeper.Shard
	slot  *keeper.SlotLease
	// retiring is set when the slot is no longer wanted. It is no longer reported as
	// held, and released at the next Want if the requests in flight permit.
	retiring bool
}

// Renew passes the wanted slots on and returns the slots in hand, after a short wait
// for those that were asked for now.
func (c *Client) Renew(ctx context.Context, wants []dispatch.LeaseRequest) []dispatch.HeldLease {
	c.Want(c.options.Now(), wants)
	wait := timer(renewWait)
	defer wait.Stop()
	for {
		settled, changed := c.settled()
		if settled {
			return c.Held(c.options.Now())
		}
		select {
		case <-changed:
		case <-wait.C:
			return c.Held(c.options.Now())
		case <-ctx.Done():
			return c.Held(c.options.Now())
		}
	}
}

// settled reports whether no wanted slot waits for its first answers.
func (c *Client) settled() (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	for _, l := range c.leases {
		if !l.isHeld(now) && !l.slot.IsHeldByOther() {
			return false, c.leaseChanged
		}
	}
	return true, c.leaseChanged
}

// Want replaces the set of wanted slots. Slots must include those in use by
// requests in flight. Calls to keepers run in the background; call Want every 100 ms.
func (c *Client) Want(now clock.Instant, wants []dispatch.LeaseRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list.Revision == 0 {
		return
	}
	wanted := make(map[string]int, len(wants))
	for i := range wants {
		wanted[wants[i].Upstream] = wants[i].Slots
		c.pursue(now, &wants[i])
	}
	c.retire(now, wanted)
	for _, l := range c.leases {
		l.slot.OnView(c.list.View(l.shard))
		if !l.retiring {
			c.sendLease(l, l.slot.Tick(now))
		}
	}
}

// pursue keeps as many slots under way as are wanted. Each VM starts at another
// slot; a slot that another holder has is left for the next one.
func (c *Client) pursue(now clock.Instant, want *dispatch.LeaseRequest) {
	if want.Capacity <= 0 {
		return
	}
	start := int(rendezvous.Weight(want.Upstream, c.options.VM) % uint64(want.Capacity))
	active := 0
	next := start
	for i := range want.Capacity {
		index := (start + i) % want.Capacity
		l := c.leases[slotID{want.Upstream, index}]
		switch {
		case l == nil:
		case l.slot.IsHeldByOther() && !l.isHeld(now):
			c.giveUp(slotID{want.Upstream, index}, l)
			next = index + 1
		default:
			active++
		}
	}
	for i := range want.Capacity {
		id := slotID{want.Upstream, (next + i) % want.Capacity}
		if active >= want.Slots {
			return
		}
		if c.leases[id] == nil {
			c.leases[id] = c.newLease(id, want.Zone)
			active++
		}
	}
}

func (c *Client) newLease(id slotID, zone string) *lease {
	key := keeper.SlotKey(id.upstream, id.index)
	shard := keeper.LeaseShard(zone, key)
	return &lease{shard: shard, slot: keeper.NewSlotLease(keeper.SlotLeaseOptions{
		Shard: shard, Key: key, VM: c.options.VM, Incarnation: c.options.Incarnation,
		NextAttempt: c.store.number, LeaseDuration: c.options.Lease, Seed: c.seed(),
	}, c.list.View(shard))}
}

// retire gives back slots that are not wanted, in two steps: the caller first sees
// fewer slots in hand, so that no request starts on a slot that is being released.
func (c *Client) retire(now clock.Instant, wanted map[string]int) {
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
		if !l.retiring && l.isHeld(now) && !keep(id) {
			surplus = append(surplus, l)
		}
	}
	for id, l := range c.leases {
		if !l.retiring || !l.isHeld(now) {
			continue
		}
		// Requests in flight may still need the slot.
		if l.retiring = !keep(id); l.retiring {
			c.sendLease(l, l.slot.Release())
			delete(c.leases, id)
		}
	}
	for id, l := range c.leases {
		if !l.isHeld(now) && (l.retiring || !keep(id)) {
			c.giveUp(id, l)
		}
	}
	for _, l := range surplus {
		l.retiring = true
	}
}

// giveUp drops a slot that is not in hand. One that was in hand is left to lapse,
// since a request may still run on it.
func (c *Client) giveUp(id slotID, l *lease) {
	if !l.slot.WasAcquired() {
		c.sendLease(l, l.slot.Release())
	}
	delete(c.leases, id)
}

func (l *lease) isHeld(now clock.Instant) bool { return l.slot.UsableUntil().After(now) }

// Held returns the slots in hand at now.
func (c *Client) Held(now clock.Instant) []dispatch.HeldLease {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := map[string]int{}
	var held []dispatch.HeldLease
	for id, l := range c.leases {
		until := l.slot.UsableUntil()
		if l.retiring || !until.After(now) {
			continue
		}
		at, found := index[id.upstream]
		if !found {
			index[id.upstream] = len(held)
			held = append(held, dispatch.HeldLease{Upstream: id.upstream, Slots: 1, Until: until})
			continue
		}
		held[at].Slots++
		held[at].Until = min(held[at].Until, until)
	}
	return held
}

// sendLease carries out the actions of a slot. It is called under the lock, which
// the calls in the background take again for their answers.
func (c *Client) sendLease(l *lease, actions []keeper.Action) {
	round := l.slot.RoundStart()
	for _, action := range actions {
		address := c.addresses[action.To].AgentAddress
		if action.Kind == keeper.SendFinish {
			c.callAt(address, action.To, func(ctx context.Context, k hoistv1.KeeperClient) error {
				_, err := k.Finish(ctx, keeperwire.FromFinishRequest(action.Finish))
				return err
			}, func() {})
			continue
		}
		request := action.Claim
		c.callAt(address, action.To, func(ctx context.Context, k hoistv1.KeeperClient) error {
			message, err := k.Claim(ctx, keeperwire.FromClaimRequest(request))
			if err != nil {
				return err
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.sendLease(l, l.slot.OnClaim(request.Holder.Attempt, round, keeperwire.ToClaimResponse(request, message)))
			close(c.leaseChanged)
			c.leaseChanged = make(chan struct{})
			return nil
		}, func() {})
	}
}
