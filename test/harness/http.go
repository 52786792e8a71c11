package harness

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// pollInterval is the time between two attempts of a polling command.
	pollInterval = 50 * time.Millisecond
	// defaultAttempts makes polling commands time out after about 30 s.
	defaultAttempts = 600
	// requestTimeout limits one HTTP request of a script.
	requestTimeout = 30 * time.Second
)

var httpClient = &http.Client{Timeout: requestTimeout}

// cmdAwait polls PATH on the process NAME until the status and the body match. NAME may be
// a comma-separated list; "gateways" means every gateway.
func (s *scenario) cmdAwait(_ *testscript.TestScript, args []string) error {
	flags := flag.NewFlagSet("await", flag.ContinueOnError)
	status := flags.Int("status", 200, "expected status; 0 to expect that no response arrives")
	match := flags.String("match", "", "regular expression that the body must match")
	check := flags.String("check", "", "condition on a field of a JSON body, as in 'reads > 3'")
	attempts := flags.Int("tries", defaultAttempts, "maximum number of attempts")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 2 {
		return errors.New("usage: await [flags] NAME[,NAME] PATH")
	}
	pattern, err := regexp.Compile(*match)
	if err != nil {
		return err
	}
	for _, name := range s.expandGateways(flags.Arg(0)) {
		address, err := s.deployment.address(name)
		if err != nil {
			return err
		}
		matches := func() error { return checkEndpoint("http://"+address+flags.Arg(1), *status, pattern, *check) }
		if err := poll(*attempts, matches); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

func (s *scenario) expandGateways(names string) []string {
	var all []string
	for name := range strings.SplitSeq(names, ",") {
		if name != "gateways" || s.deployment == nil {
			all = append(all, name)
			continue
		}
		for _, vm := range s.deployment.vms {
			all = append(all, "gateway-"+vm.Name)
		}
	}
	return all
}

// poll calls check until it returns nil, at most attempts times.
func poll(attempts int, check func() error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	err := check()
	for attempt := 1; err != nil && attempt < attempts; attempt++ {
		<-ticker.C
		err = check()
	}
	return errors.Wrapf(err, "after %d attempts", attempts)
}

// checkEndpoint sends a GET request and checks the status, the body and a JSON field of it.
func checkEndpoint(url string, status int, pattern *regexp.Regexp, check string) error {
	response, err := httpClient.Get(url)
	if err != nil {
		if status == 0 {
			return nil
		}
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != status {
		return errors.Newf("status %d, expected %d: %.300s", response.StatusCode, status, body)
	}
	if !pattern.Match(body) {
		return errors.Newf("response body does not match %q: %.300s", pattern, body)
	}
	if check == "" {
		return nil
	}
	return checkJSON(body, check)
}

// backgroundSend is a request that runs in the background.
type backgroundSend struct {
	done chan struct{}
	err  error
}

// sendSpec is one request and its expected response.
type sendSpec struct {
	to, workspace, key, body string
	headers                  repeatedFlag
	status                   int
	kind, run, match         string
}

// cmdSend sends one request to a route of a gateway and checks the response.
func (s *scenario) cmdSend(ts *testscript.TestScript, args []string) error {
	var spec sendSpec
	flags := flag.NewFlagSet("send", flag.ContinueOnError)
	flags.StringVar(&spec.to, "to", "gateway-vm-1", "name of the process that receives the request")
	flags.StringVar(&spec.workspace, "workspace", "", "workspace; defaults to the first one of the routes table")
	flags.StringVar(&spec.key, "key", "", "idempotency key")
	flags.StringVar(&spec.body, "body", `{"id":"single"}`, "request body, or @FILE")
	flags.Var(&spec.headers, "H", "request header as 'Name: value'; may be repeated")
	flags.IntVar(&spec.status, "status", 200, "expected status")
	flags.StringVar(&spec.kind, "kind", "", "expected error kind of the problem document")
	flags.StringVar(&spec.run, "run", "", "expected run state of the problem document, or several separated by |")
	flags.StringVar(&spec.match, "match", "", "regular expression that the body must match")
	attempts := flags.Int("tries", 1, "maximum number of attempts; the request is sent until the response matches")
	background := flags.String("bg", "", "send in the background under this name; the command sent waits for the result")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 1 {
		return errors.New("usage: send [flags] ROUTE")
	}
	address, err := s.deployment.address(spec.to)
	if err != nil {
		return err
	}
	if spec.workspace == "" {
		spec.workspace = s.deployment.tables.Routes.Workspaces[0].Name
	}
	if file, ok := strings.CutPrefix(spec.body, "@"); ok {
		spec.body = ts.ReadFile(file)
	}
	if _, err := regexp.Compile(spec.match); err != nil {
		return err
	}
	url := "http://" + address + "/v1/routes/" + flags.Arg(0)
	if *background == "" {
		return poll(*attempts, func() error { return spec.sendAndCheck(url) })
	}
	pending := &backgroundSend{done: make(chan struct{})}
	s.backgroundSends[*background] = pending
	go func() {
		defer close(pending.done)
		pending.err = spec.sendAndCheck(url)
	}()
	return nil
}

// cmdSent waits for requests in the background and returns the first error.
func (s *scenario) cmdSent(_ *testscript.TestScript, args []string) error {
	for _, name := range args {
		pending := s.backgroundSends[name]
		if pending == nil {
			return errors.Newf("no background request named %s", name)
		}
		<-pending.done
		if pending.err != nil {
			return errors.Wrap(pending.err, name)
		}
	}
	return nil
}

func (spec *sendSpec) sendAndCheck(url string) error {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(spec.body))
	if err != nil {
		return err
	}
	request.Header.Set("Workspace", spec.workspace)
	if spec.key != "" {
		request.Header.Set("Idempotency-Key", spec.key)
	}
	for _, header := range spec.headers {
		name, value, _ := strings.Cut(header, ":")
		request.Header.Set(name, strings.TrimSpace(value))
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != spec.status {
		return errors.Newf("status %d, expected %d: %.500s", response.StatusCode, spec.status, body)
	}
	if !regexp.MustCompile(spec.match).Match(body) {
		return errors.Newf("response body does not match %q: %.500s", spec.match, body)
	}
	if spec.kind == "" && spec.run == "" {
		return nil
	}
	var problem struct{ Kind, Run string }
	if err := json.Unmarshal(body, &problem); err != nil {
		return errors.Wrapf(err, "response body is not a problem document: %.300s", body)
	}
	if spec.kind != "" && problem.Kind != spec.kind {
		return errors.Newf("error kind %s, expected %s: %s", problem.Kind, spec.kind, body)
	}
	if spec.run != "" && !hasAlternative(spec.run, problem.Run) {
		return errors.Newf("run state %s, expected %s: %s", problem.Run, spec.run, body)
	}
	return nil
}

func hasAlternative(alternatives, value string) bool {
	for alternative := range strings.SplitSeq(alternatives, "|") {
		if alternative == value {
			return true
		}
	}
	return false
}

// checkJSON checks the condition 'field OP number' on a JSON object.
func checkJSON(body []byte, condition string) error {
	fields := strings.Fields(condition)
	if len(fields) != 3 {
		return errors.Newf("condition %q is not of the form 'field OP number'", condition)
	}
	var object map[string]any
	if err := json.Unmarshal(body, &object); err != nil {
		return errors.Wrapf(err, "response body is not a JSON object: %.300s", body)
	}
	value, ok := object[fields[0]].(float64)
	if !ok {
		return errors.Newf("no numeric field %s in %.500s", fields[0], body)
	}
	var operand float64
	if _, err := fmt.Sscan(fields[2], &operand); err != nil {
		return err
	}
	holds, known := map[string]bool{
		"==": value == operand, "!=": value != operand,
		"<": value < operand, "<=": value <= operand,
		">": value > operand, ">=": value >= operand,
	}[fields[1]]
	if !known {
		return errors.Newf("unknown operator %s", fields[1])
	}
	if !holds {
		return errors.Newf("%s is %v, expected %s %v; whole body: %.1500s", fields[0], value, fields[1], operand, body)
	}
	return nil
}
