package harness

import (
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// deployment holds the tables, VMs and addresses of one script.
type deployment struct {
	tables          *table.Tables
	vms             []vm
	platformAddress string
}

// vm is one VM with the addresses of its processes.
type vm struct {
	table.VM
	gatewayListen string
	gatewayAdmin  string
	agentAdmin    string
	// loopbackIP and platformRelay are set only if relays connect the zones.
	loopbackIP    string
	platformRelay string
}

// listenAddress returns the address on which the VM listens: the published address, or
// the one behind its relay.
func (v *vm) listenAddress(published string) string {
	if v.loopbackIP == "" {
		return published
	}
	_, port, _ := net.SplitHostPort(published)
	return net.JoinHostPort(v.loopbackIP, port)
}

// placeholderAddress is replaced by an address with a port that the harness allocates.
const placeholderAddress = "127.0.0.1:0"

// loopbackAddress matches the addresses in the files of an example deployment.
var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// cmdDeployment writes routes.yaml, pools.yaml, vms.yaml, key and for each VM
// VM/agent.yaml and VM/gateway.yaml to the script's directory.
func (s *scenario) cmdDeployment(ts *testscript.TestScript, args []string) error {
	flags := flag.NewFlagSet("deployment", flag.ContinueOnError)
	zones := flags.Int("zones", 3, "availability zones")
	perZone := flags.Int("vms", 1, "VMs per zone")
	upstreams := flags.Int("upstreams", 1, "upstreams per pool and zone")
	relay := flags.Bool("relay", false, "connect the zones through relays, as the network command requires")
	example := flags.String("example", "", "use the tables and VM list of examples/NAME")
	var agentLines, gatewayLines repeatedFlag
	flags.Var(&agentLines, "agent", "line to append to the agents' settings; may be repeated")
	flags.Var(&gatewayLines, "gateway", "line to append to the gateways' settings; may be repeated")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *example != "" {
		if err := s.copyExample(*example); err != nil {
			return err
		}
	} else if err := s.writeDefaults(*zones, *upstreams); err != nil {
		return err
	}
	d := &deployment{}
	if err := s.loadTables(d); err != nil {
		return err
	}
	if err := s.loadVMs(d, *example != "", *zones, *perZone); err != nil {
		return err
	}
	if *relay {
		var err error
		if s.network, err = newNetwork(d); err != nil {
			return err
		}
	}
	if err := s.writeSettings(d, agentLines, gatewayLines); err != nil {
		return err
	}
	s.deployment = d
	ts.Setenv("PLATFORM", "http://"+d.platformAddress)
	for _, vm := range d.vms {
		name := strings.ToUpper(strings.ReplaceAll(vm.Name, "-", "_"))
		ts.Setenv("GATEWAY_"+name, vm.gatewayListen)
		ts.Setenv("GATEWAY_ADMIN_"+name, vm.gatewayAdmin)
		ts.Setenv("AGENT_ADMIN_"+name, vm.agentAdmin)
	}
	return nil
}

// copyExample copies the tables and the VM list of an example, with placeholder addresses.
func (s *scenario) copyExample(name string) error {
	for _, file := range []string{"routes.yaml", "pools.yaml", "vms.yaml"} {
		data, err := os.ReadFile(filepath.Join(s.harness.moduleRoot, "examples", name, file))
		if err != nil {
			return err
		}
		data = loopbackAddress.ReplaceAll(data, []byte(placeholderAddress))
		if err := s.writeFile(file, string(data)); err != nil {
			return err
		}
	}
	return nil
}

// writeDefaults writes the default tables that the script does not provide.
func (s *scenario) writeDefaults(zones, perZone int) error {
	if !s.exists("routes.yaml") {
		if err := s.writeFile("routes.yaml", defaultRoutes); err != nil {
			return err
		}
	}
	if s.exists("pools.yaml") {
		return nil
	}
	var out strings.Builder
	out.WriteString("pools:\n")
	for _, pool := range defaultPools {
		fmt.Fprintf(&out, "  - name: %s\n%s    upstreams:\n", pool.name, pool.settings)
		for i := range zones * perZone {
			fmt.Fprintf(&out, "      - {name: %s-%d, address: %q, zone: %s}\n", pool.name, i+1, placeholderAddress, zoneName(i%zones))
		}
	}
	out.WriteString("out_of_service:\n  zones: []\n  upstreams: []\n")
	return s.writeFile("pools.yaml", out.String())
}

func (s *scenario) loadTables(d *deployment) error {
	for _, file := range []string{"routes.yaml", "pools.yaml"} {
		if err := s.assignPorts(file); err != nil {
			return err
		}
	}
	routes, err := os.ReadFile(s.path("routes.yaml"))
	if err != nil {
		return err
	}
	pools, err := os.ReadFile(s.path("pools.yaml"))
	if err != nil {
		return err
	}
	d.tables, err = table.Load("routes.yaml", routes, "pools.yaml", pools)
	return err
}

func (s *scenario) loadVMs(d *deployment, fromExample bool, zones, perZone int) error {
	if !fromExample && !s.exists("vms.yaml") {
		var out strings.Builder
		out.WriteString("vms:\n")
		for i := range zones * perZone {
			fmt.Fprintf(&out, "  - {name: vm-%d, zone: %s, agent_address: %q, gateway_address: %q, state: live}\n",
				i+1, zoneName(i%zones), placeholderAddress, placeholderAddress)
		}
		if err := s.writeFile("vms.yaml", out.String()); err != nil {
			return err
		}
	}
	if err := s.assignPorts("vms.yaml"); err != nil {
		return err
	}
	data, err := os.ReadFile(s.path("vms.yaml"))
	if err != nil {
		return err
	}
	list, err := table.DecodeVMList(data)
	if err != nil {
		return err
	}
	allocated, err := ports.allocate(1 + 3*len(list.VMs))
	if err != nil {
		return err
	}
	nextAddress := func() string {
		port := allocated[0]
		allocated = allocated[1:]
		return fmt.Sprintf("127.0.0.1:%d", port)
	}
	d.platformAddress = nextAddress()
	for _, entry := range list.VMs {
		d.vms = append(d.vms, vm{VM: entry, gatewayListen: nextAddress(), gatewayAdmin: nextAddress(), agentAdmin: nextAddress()})
	}
	return nil
}

func (s *scenario) writeSettings(d *deployment, agentLines, gatewayLines repeatedFlag) error {
	// The key is shared by all processes; its content is arbitrary.
	if err := os.WriteFile(s.path("key"), []byte(strings.Repeat("0123456789abcdef", 4)+"\n"), 0o600); err != nil {
		return err
	}
	for _, vm := range d.vms {
		if err := os.MkdirAll(s.path(vm.Name), 0o755); err != nil {
			return err
		}
		platform := d.platformAddress
		if vm.platformRelay != "" {
			platform = vm.platformRelay
		}
		agentSettings := fmt.Sprintf("vm: %s\nzone: %s\nlisten: %s\nadmin_listen: %s\nplatform: http://%s\nkey_file: %s\nbootstrap_wait: 200ms\n",
			vm.Name, vm.Zone, vm.listenAddress(vm.AgentAddress), vm.agentAdmin, platform, s.path("key"))
		if err := s.writeFile(vm.Name+"/agent.yaml", agentSettings+agentLines.String()); err != nil {
			return err
		}
		gatewaySettings := fmt.Sprintf("vm: %s\nzone: %s\nlisten: %s\npeer_listen: %s\nadmin_listen: %s\nagent: %s\nkey_file: %s\n",
			vm.Name, vm.Zone, vm.gatewayListen, vm.listenAddress(vm.GatewayAddress), vm.gatewayAdmin, vm.listenAddress(vm.AgentAddress), s.path("key"))
		if err := s.writeFile(vm.Name+"/gateway.yaml", gatewaySettings+gatewayLines.String()); err != nil {
			return err
		}
	}
	return nil
}

// assignPorts replaces each placeholderAddress in the file by an address with a free port.
func (s *scenario) assignPorts(file string) error {
	data, err := os.ReadFile(s.path(file))
	if err != nil {
		return err
	}
	parts := strings.Split(string(data), placeholderAddress+`"`)
	allocated, err := ports.allocate(len(parts) - 1)
	if err != nil {
		return err
	}
	var out strings.Builder
	for i, part := range parts {
		if i > 0 {
			fmt.Fprintf(&out, `127.0.0.1:%d"`, allocated[i-1])
		}
		out.WriteString(part)
	}
	return s.writeFile(file, out.String())
}

func (s *scenario) path(name string) string { return filepath.Join(s.workDir, name) }

func (s *scenario) exists(name string) bool {
	_, err := os.Stat(s.path(name))
	return err == nil
}

func (s *scenario) writeFile(name, content string) error {
	return os.WriteFile(s.path(name), []byte(content), 0o644)
}

// upstream returns the upstream with the given name.
func (d *deployment) upstream(name string) (*table.Upstream, error) {
	for p := range d.tables.Pools.Pools {
		pool := &d.tables.Pools.Pools[p]
		for u := range pool.Upstreams {
			if pool.Upstreams[u].Name == name {
				return &pool.Upstreams[u], nil
			}
		}
	}
	return nil, errors.Newf("no upstream named %s", name)
}

func (d *deployment) vm(name string) (*vm, error) {
	for i := range d.vms {
		if d.vms[i].Name == name {
			return &d.vms[i], nil
		}
	}
	return nil, errors.Newf("no VM named %s", name)
}

// address returns the address of a process: platform, gateway-VM (its client listener),
// admin-VM (the gateway's administration listener), agent-VM (the agent's administration
// listener) or an upstream.
func (d *deployment) address(name string) (string, error) {
	if d == nil {
		return "", errors.New("no deployment; run the deployment command first")
	}
	if name == "platform" {
		return d.platformAddress, nil
	}
	for prefix, addressOf := range map[string]func(*vm) string{
		"gateway-": func(v *vm) string { return v.gatewayListen },
		"admin-":   func(v *vm) string { return v.gatewayAdmin },
		"agent-":   func(v *vm) string { return v.agentAdmin },
	} {
		if vmName, ok := strings.CutPrefix(name, prefix); ok {
			v, err := d.vm(vmName)
			if err != nil {
				return "", err
			}
			return addressOf(v), nil
		}
	}
	entry, err := d.upstream(name)
	if err != nil {
		return "", err
	}
	return entry.Address, nil
}

func zoneName(i int) string { return "zone-" + string(rune('a'+i)) }

// repeatedFlag collects the values of a flag that may be given several times.
type repeatedFlag []string

func (f *repeatedFlag) String() string {
	var out strings.Builder
	for _, value := range *f {
		out.WriteString(value + "\n")
	}
	return out.String()
}

// Set implements flag.Value.
func (f *repeatedFlag) Set(value string) error {
	*f = append(*f, value)
	return nil
}
