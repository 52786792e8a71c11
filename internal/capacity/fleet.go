package capacity

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/internal/standin"
)

// sharedKey is the peer authentication key of all processes; its content is arbitrary.
const sharedKey = "0123456789abcdef0123456789abcdef"

// pollInterval is the time between two checks of the gateways.
const pollInterval = 20 * time.Millisecond

// fleet is an emulated platform, agent processes and one emulated gateway per agent.
type fleet struct {
	platform     *standin.Platform
	processes    []*process
	gateways     []*gateway
	poolsVersion int
	options      options
}

func newFleet(ctx context.Context, n int, o options, directory string) (*fleet, error) {
	f := &fleet{platform: standin.NewPlatform(), options: o}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &fasthttp.Server{Handler: f.platform.Handle}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	addresses, err := freeAddresses(2 * n)
	if err != nil {
		return nil, err
	}
	f.publishTables(addresses[:n])
	keyFile := filepath.Join(directory, "key")
	if err := os.WriteFile(keyFile, []byte(sharedKey), 0o600); err != nil {
		return nil, err
	}
	secret, err := peer.LoadKey(keyFile)
	if err != nil {
		return nil, err
	}
	for i := range n {
		settings := fmt.Sprintf("vm: %s\nzone: %s\nlisten: %s\nadmin_listen: %s\nplatform: http://%s\nkey_file: %s\n",
			vmName(i), zoneName(i, o.zones), addresses[i], addresses[n+i], listener.Addr(), keyFile)
		p, err := startAgent(o.agentProgram, directory, i, settings, addresses[n+i])
		if err != nil {
			return f, err
		}
		f.processes = append(f.processes, p)
		g, err := newGateway(i, peer.Transport{Key: secret}, addresses[i])
		if err != nil {
			return f, err
		}
		f.gateways = append(f.gateways, g)
		go g.run(ctx, o.reportsPerGateway, o.upstreams)
	}
	return f, nil
}

func (f *fleet) publishTables(addresses []string) {
	routes, pools := generateTables(f.options.workspaces, f.options.upstreams, 0)
	f.platform.Set("routes", []byte(routes))
	f.platform.Set("pools", []byte(pools))
	f.poolsVersion = 1
	var list strings.Builder
	list.WriteString("vms:\n")
	for i, address := range addresses {
		fmt.Fprintf(&list, "  - {name: %s, zone: %s, agent_address: %q, gateway_address: \"127.0.0.1:%d\", state: live}\n",
			vmName(i), zoneName(i, f.options.zones), address, 1+i)
	}
	f.platform.Set("vms", []byte(list.String()))
}

// publishChange publishes a new pools table and returns the time until every gateway has
// received it.
func (f *fleet) publishChange(ctx context.Context) (time.Duration, error) {
	_, pools := generateTables(f.options.workspaces, f.options.upstreams, f.poolsVersion)
	f.poolsVersion++
	started := time.Now()
	f.platform.Set("pools", []byte(pools))
	err := f.waitForGateways(ctx, func(g *gateway) bool { return g.poolsRevision.Load() >= uint64(f.poolsVersion) })
	return time.Since(started), err
}

// waitForGateways waits until the condition holds for every gateway.
func (f *fleet) waitForGateways(ctx context.Context, condition func(*gateway) bool) error {
	const timeout = time.Minute
	for started := time.Now(); time.Since(started) < timeout; sleep(ctx, pollInterval) {
		waiting := 0
		for _, g := range f.gateways {
			if !condition(g) {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return errors.Newf("condition not met by all gateways within %v", timeout)
}

func (f *fleet) stop() {
	for _, p := range f.processes {
		_ = p.command.Process.Signal(os.Interrupt)
	}
	for _, p := range f.processes {
		p.stop()
	}
}

func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// Listeners stay open until the function returns, so that no port is chosen twice.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
