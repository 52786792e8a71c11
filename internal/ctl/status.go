package ctl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hornbeamhoist/hornbeamhoist/internal/adminapi"
)

const flagGateway = "gateway"

// statusReport is the output of the status command.
type statusReport struct {
	Gateways []gatewayResult `json:"gateways"`
	Agents   []agentResult   `json:"agents"`
	details  bool
}

type gatewayResult struct {
	Address string                  `json:"address"`
	Error   string                  `json:"error,omitempty"`
	Status  *adminapi.GatewayStatus `json:"status,omitempty"`
}

type agentResult struct {
	Address string                `json:"address"`
	Error   string                `json:"error,omitempty"`
	Status  *adminapi.AgentStatus `json:"status,omitempty"`
}

func (a *App) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show revisions in force, members and upstreams",
		Flags: []cli.Flag{
			addressFlag(flagGateway, "administration `ADDRESS` (IP:port) of a gateway; may be repeated"),
			addressFlag("agent", "administration `ADDRESS` (IP:port) of an agent; may be repeated"),
			&cli.BoolFlag{Name: "details", Usage: "list members and upstreams"},
			timeoutFlag(),
		},
		Action: a.status,
	}
}

func (a *App) status(_ context.Context, command *cli.Command) error {
	if _, err := arguments(command); err != nil {
		return err
	}
	gateways, agents := command.StringSlice(flagGateway), command.StringSlice("agent")
	if len(gateways)+len(agents) == 0 {
		return usageError("status needs --gateway or --agent")
	}
	report := &statusReport{
		Gateways: make([]gatewayResult, len(gateways)),
		Agents:   make([]agentResult, len(agents)),
		details:  command.Bool("details"),
	}
	if _, err := outputFormat(command, report); err != nil {
		return err
	}
	client := newAdminClient(command.Duration("timeout"))
	forEachAddress(gateways, func(i int, address string) { report.Gateways[i] = fetchGateway(client, address) })
	forEachAddress(agents, func(i int, address string) { report.Agents[i] = fetchAgent(client, address) })
	if err := a.print(command, report); err != nil {
		return err
	}
	if n := report.failedReads(); n > 0 {
		return fmt.Errorf("%d of %d processes could not be read", n, len(gateways)+len(agents))
	}
	return nil
}

func fetchGateway(client *adminClient, address string) gatewayResult {
	var status adminapi.GatewayStatus
	err := client.getJSON(address, adminapi.PathStatus, nil, &status)
	if err == nil && status.Program != adminapi.ProgramGateway {
		err = fmt.Errorf("%s is %q; expected %s", address, status.Program, adminapi.ProgramGateway)
	}
	if err != nil {
		return gatewayResult{Address: address, Error: err.Error()}
	}
	return gatewayResult{Address: address, Status: &status}
}

func fetchAgent(client *adminClient, address string) agentResult {
	var status adminapi.AgentStatus
	err := client.getJSON(address, adminapi.PathStatus, nil, &status)
	if err == nil && status.Program != adminapi.ProgramAgent {
		err = fmt.Errorf("%s is %q; expected %s", address, status.Program, adminapi.ProgramAgent)
	}
	if err != nil {
		return agentResult{Address: address, Error: err.Error()}
	}
	return agentResult{Address: address, Status: &status}
}

func (r *statusReport) failedReads() int {
	n := 0
	for _, entry := range r.Gateways {
		if entry.Error != "" {
			n++
		}
	}
	for _, entry := range r.Agents {
		if entry.Error != "" {
			n++
		}
	}
	return n
}

func (r *statusReport) table(out io.Writer) {
	r.gatewayTable(out)
	r.agentTable(out)
	r.revisionMismatches(out)
	if r.details {
		r.memberTable(out)
		r.upstreamTable(out)
	}
}

func (r *statusReport) gatewayTable(out io.Writer) {
	if len(r.Gateways) == 0 {
		return
	}
	rows := newTableWriter(out, "GATEWAY", "VM", "ZONE", "STATE", "ROUTES", "POOLS", "VMS", "AGE", "CONFIRMED", "IN FLIGHT", "UPSTREAMS")
	for _, entry := range r.Gateways {
		s := entry.Status
		if s == nil {
			rows.addRow(entry.Address, "-", "-", "unreadable: "+entry.Error)
			continue
		}
		rows.addRow(entry.Address, s.VM, s.Zone, gatewayState(s), s.Revisions.Routes, s.Revisions.Pools, s.Revisions.VMs,
			milliseconds(s.SnapshotAgeMs), s.Confirmed, s.InFlight, upstreamSummary(s.Upstreams))
	}
	rows.flush()
}

func gatewayState(s *adminapi.GatewayStatus) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func upstreamSummary(upstreams []adminapi.UpstreamStatus) string {
	counts := map[string]int{}
	for _, u := range upstreams {
		if u.OutOfService {
			counts["out of service"]++
		} else {
			counts[string(u.Warmth)]++
		}
	}
	return formatCounts(counts)
}

// formatCounts lists counts in alphabetical order of their names, such as "3 cold, 40 warm".
func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(parts, ", ")
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (r *statusReport) agentTable(out io.Writer) {
	if len(r.Agents) == 0 {
		return
	}
	rows := newTableWriter(out, "AGENT", "VM", "ZONE", "ROUTES", "POOLS", "VMS", "AGE", "CONFIRMED", "READER", "MEMBERS")
	for _, entry := range r.Agents {
		s := entry.Status
		if s == nil {
			rows.addRow(entry.Address, "-", "-", "unreadable: "+entry.Error)
			continue
		}
		counts := map[string]int{}
		for _, member := range s.Members {
			counts[string(member.Status)]++
		}
		rows.addRow(entry.Address, s.VM, s.Zone, s.Revisions.Routes, s.Revisions.Pools, s.Revisions.VMs,
			milliseconds(s.ConfirmedAgeMs), s.Confirmed, s.Reader, formatCounts(counts))
	}
	rows.flush()
	for _, entry := range r.Agents {
		if entry.Status == nil {
			continue
		}
		for _, rejected := range entry.Status.Rejected {
			fmt.Fprintf(out, "%s rejected revision %d of %s:\n", sanitize(entry.Address), rejected.Revision, sanitize(rejected.Value))
			for line := range strings.Lines(rejected.Reason) {
				fmt.Fprintln(out, "  "+sanitize(strings.TrimSuffix(line, "\n")))
			}
		}
	}
}

// revisionMismatches lists the tables of which the processes use different revisions.
func (r *statusReport) revisionMismatches(out io.Writer) {
	inUse := map[string]map[uint64]int{"routes": {}, "pools": {}, "vms": {}}
	add := func(revisions adminapi.Revisions) {
		inUse["routes"][revisions.Routes]++
		inUse["pools"][revisions.Pools]++
		inUse["vms"][revisions.VMs]++
	}
	for _, entry := range r.Gateways {
		if entry.Status != nil {
			add(entry.Status.Revisions)
		}
	}
	for _, entry := range r.Agents {
		if entry.Status != nil {
			add(entry.Status.Revisions)
		}
	}
	for _, name := range []string{"routes", "pools", "vms"} {
		if len(inUse[name]) < 2 {
			continue
		}
		var parts []string
		for _, revision := range slices.Sorted(maps.Keys(inUse[name])) {
			parts = append(parts, fmt.Sprintf("%d on %d processes", revision, inUse[name][revision]))
		}
		fmt.Fprintf(out, "revisions of %s differ: %s\n", name, strings.Join(parts, ", "))
	}
}

func (r *statusReport) memberTable(out io.Writer) {
	rows := newTableWriter(out, "AGENT", "MEMBER", "ZONE", "STATUS", "INCARNATION", "LEAVING")
	for _, entry := range r.Agents {
		if entry.Status == nil {
			continue
		}
		for _, m := range entry.Status.Members {
			rows.addRow(entry.Address, m.VM, m.Zone, m.Status, m.Incarnation, m.Leaving)
		}
	}
	rows.flush()
}

func (r *statusReport) upstreamTable(out io.Writer) {
	rows := newTableWriter(out, "GATEWAY", "POOL", "UPSTREAM", "ADDRESS", "ZONE", "OUT OF SERVICE", "WARMTH", "IN FLIGHT", "LIMIT", "LOAD")
	for _, entry := range r.Gateways {
		if entry.Status == nil {
			continue
		}
		for _, u := range entry.Status.Upstreams {
			rows.addRow(entry.Address, u.Pool, u.Upstream, u.Address, u.Zone, u.OutOfService, u.Warmth, u.InFlight, u.Limit,
				fmt.Sprintf("%.1f", u.EstimatedLoad))
		}
	}
	rows.flush()
}
