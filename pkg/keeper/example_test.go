package keeper_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// The first send of a request gets a majority of its group. A second send through another
// gateway finds the claim and has to ask its holder for the outcome.
func ExampleProposer() {
	now := clock.Instant(0)
	var vms []table.VM
	for i := range keeper.GroupSize {
		vms = append(vms, table.VM{Name: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), State: table.VMLive})
	}
	list := keeper.NewVMList(1, vms)
	members := map[string]*keeper.Member{}
	for _, vm := range vms {
		members[vm.Name] = keeper.NewMember(keeper.Options{
			VM: vm.Name, Incarnation: 1, ClaimRetention: keeper.DefaultClaimRetention, BootstrapWait: keeper.DefaultBootstrapWait, MaxRecords: 100,
		})
		members[vm.Name].ApplyList(now, list)
	}
	key := keeper.ClaimKey("alpha", "book", "order 4711")
	shard := keeper.ClaimShard(key)
	send := func(vm string) {
		attempt := uint64(0)
		proposer := keeper.NewProposer(keeper.ProposerOptions{
			Shard: shard, Key: key, VM: vm, Incarnation: 1, Deadline: now.Add(3 * time.Second), ClaimRetention: keeper.DefaultClaimRetention,
			NextAttempt: func() uint64 { attempt++; return attempt },
		}, list.View(shard))
		for _, action := range proposer.Start(now) {
			if action.Kind != keeper.SendClaim {
				continue
			}
			response := members[action.To].Claim(now, action.Claim)
			for _, next := range proposer.OnClaim(now, action.Claim.Holder.Attempt, response) {
				if next.Kind == keeper.AskHolder {
					fmt.Println(vm, "asks", next.Holder.VM)
				}
			}
		}
		fmt.Println(vm, "may run:", proposer.Decision() == keeper.DecisionMayRun)
	}
	// Newly started members vote once they have read the whole group and
	// BootstrapWait has passed.
	for now.Before(clock.Instant(10 * time.Second)) {
		now = now.Add(100 * time.Millisecond)
		for _, reader := range vms {
			for target, requests := range members[reader.Name].Tick(now) {
				for _, request := range requests {
					members[reader.Name].OnSyncResponse(now, members[target].Sync(now, request))
				}
			}
		}
	}
	send("vm-0")
	send("vm-1")
	// Output:
	// vm-0 may run: true
	// vm-1 asks vm-0
	// vm-1 may run: false
}
