package harness

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// cmdPlatform controls the emulated platform:
//
//	platform publish routes|pools|vms FILE
//	platform outage on|off   (all reads fail)
//	platform stale on|off    (readers do not see values that are published meanwhile)
func (s *scenario) cmdPlatform(ts *testscript.TestScript, args []string) error {
	address, err := s.deployment.address("platform")
	if err != nil {
		return err
	}
	base := "http://" + address + "/control/"
	switch {
	case len(args) == 3 && args[0] == "publish":
		_, err := putRequest(base+"values/"+args[1], []byte(ts.ReadFile(args[2])))
		return err
	case len(args) == 2 && (args[0] == "outage" || args[0] == "stale"):
		_, err := putRequest(base+args[0]+"?on="+strconv.FormatBool(args[1] == "on"), nil)
		return err
	}
	return errors.New("usage: platform publish VALUE FILE | outage on|off | stale on|off")
}

// cmdUpstream controls the emulated upstreams. NAME is an upstream, a pool (all its
// upstreams) or all:
//
//	upstream set NAME field=value...
//	upstream check NAME 'field OP number'...   (on sums over the upstreams, on maxima for max_ fields)
//	upstream await NAME 'field OP number'      (polls until the condition holds)
//	upstream reset NAME                        (sets the counters to zero)
//	upstream crash NAME                        (resets all connections, refuses new ones for crash_for)
//	upstream stats NAME                        (writes the counters to the test log)
func (s *scenario) cmdUpstream(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: upstream set|check|await|reset|crash|stats NAME ...")
	}
	addresses, err := s.upstreamAddresses(args[1])
	if err != nil {
		return err
	}
	switch args[0] {
	case "set":
		return setBehaviour(addresses, args[2:])
	case "check":
		body, err := sumStats(addresses)
		if err != nil {
			return err
		}
		for _, condition := range args[2:] {
			if err := checkJSON(body, condition); err != nil {
				return err
			}
		}
		return nil
	case "await":
		return poll(defaultAttempts, func() error {
			body, err := sumStats(addresses)
			if err != nil {
				return err
			}
			return checkJSON(body, strings.Join(args[2:], " "))
		})
	case "reset", "crash":
		for _, address := range addresses {
			if _, err := putRequest("http://"+address+"/control/"+args[0], nil); err != nil {
				return err
			}
		}
		return nil
	case "stats":
		body, err := sumStats(addresses)
		ts.Logf("%s", body)
		return err
	}
	return errors.Newf("unknown upstream command %q", args[0])
}

func (s *scenario) upstreamAddresses(name string) ([]string, error) {
	if s.deployment == nil {
		return nil, errors.New("no deployment; run the deployment command first")
	}
	var addresses []string
	for _, pool := range s.deployment.tables.Pools.Pools {
		for _, entry := range pool.Upstreams {
			if name == "all" || name == pool.Name || name == entry.Name {
				addresses = append(addresses, entry.Address)
			}
		}
	}
	if len(addresses) == 0 {
		return nil, errors.Newf("no upstream or pool named %s", name)
	}
	return addresses, nil
}

// setBehaviour sends field=value pairs as a JSON object: numbers and booleans as such,
// all other values, such as durations, as strings.
func setBehaviour(addresses, pairs []string) error {
	fields := map[string]any{}
	for _, pair := range pairs {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return errors.Newf("%q is not of the form field=value", pair)
		}
		fields[name] = value
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			fields[name] = number
		}
		if value == "true" || value == "false" {
			fields[name] = value == "true"
		}
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	for _, address := range addresses {
		if _, err := putRequest("http://"+address+"/control/behaviour", body); err != nil {
			return err
		}
	}
	return nil
}

// sumStats adds up the counters of upstreams, and takes the maximum of fields whose name
// starts with max_. An upstream that does not respond is only counted as unreachable, since
// the script may have killed its process.
func sumStats(addresses []string) ([]byte, error) {
	total := map[string]float64{"unreachable": 0}
	for _, address := range addresses {
		response, err := httpClient.Get("http://" + address + "/control/stats")
		if err != nil {
			total["unreachable"]++
			continue
		}
		var stats map[string]float64
		err = json.NewDecoder(response.Body).Decode(&stats)
		_ = response.Body.Close()
		if err != nil {
			return nil, err
		}
		for name, value := range stats {
			if strings.HasPrefix(name, "max_") {
				total[name] = max(total[name], value)
			} else {
				total[name] += value
			}
		}
	}
	return json.Marshal(total)
}

// cmdLoad runs the load generator:
//
//	load start NAME flags of hoist-standin load...   (to all gateways unless -to is given)
//	load wait NAME
//	load check NAME 'field OP number'...
func (s *scenario) cmdLoad(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: load start|wait|check NAME ...")
	}
	name := args[1]
	summary := s.path("load-" + name + ".json")
	switch args[0] {
	case "start":
		return s.startLoad(name, summary, args[2:])
	case "wait":
		p := s.loads[name]
		if p == nil {
			return errors.Newf("no load run named %s", name)
		}
		if err := p.wait(); err != nil {
			output, _ := os.ReadFile(p.logPath)
			return errors.Wrapf(err, "load %s: %s", name, output)
		}
		body, err := os.ReadFile(summary)
		ts.Logf("load %s: %s", name, body)
		return err
	case "check":
		body, err := os.ReadFile(summary)
		if err != nil {
			return err
		}
		for _, condition := range args[2:] {
			if err := checkJSON(body, condition); err != nil {
				return err
			}
		}
		return nil
	}
	return errors.Newf("unknown load command %q", args[0])
}

func (s *scenario) startLoad(name, summary string, args []string) error {
	to := "gateways"
	if len(args) >= 2 && args[0] == "-to" {
		to, args = args[1], args[2:]
	}
	arguments := []string{"load", "--summary", summary, "--routes", s.path("routes.yaml"), "--pools", s.path("pools.yaml")}
	for _, target := range s.expandGateways(to) {
		address, err := s.deployment.address(target)
		if err != nil {
			return err
		}
		arguments = append(arguments, "--target", address)
	}
	p, err := s.startProgram("load-"+name, "hoist-standin", append(arguments, args...)...)
	if err != nil {
		return err
	}
	s.loads[name] = p
	return nil
}

func putRequest(url string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, errors.Newf("%s: status %d: %s", url, response.StatusCode, responseBody)
	}
	return responseBody, nil
}
