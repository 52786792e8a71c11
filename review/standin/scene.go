package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// scene holds all that one case starts, and its record.
type scene struct {
	// trouble is set if the disruption of the case is played.
	trouble bool
	// subnet is the /24 network of loopback addresses of this run, such as "127.70.3.".
	subnet  string
	ports   ports
	dir     string
	started time.Time
	store   *store

	mu      sync.Mutex
	record  *os.File
	vms     []*vm
	workers []*worker
	version int
	lastID  int
}

// ports are the ports that all machines use, each on its own address.
type ports struct{ front, ready, control, first, last int }

func newScene(folder string, trouble bool) (*scene, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &scene{
		trouble: trouble, dir: dir, record: record, started: time.Now(),
		subnet: fmt.Sprintf("127.%d.%d.", 40+rand.IntN(200), 1+rand.IntN(250)),
	}
	base := 20000 + 10*rand.IntN(1000)
	s.ports = ports{front: base, ready: base + 1, control: base + 2, first: base + 3, last: base + 6}
	for port := base; port <= s.ports.last; port++ {
		if err := checkFree(s.ip(1), port); err != nil {
			return nil, err
		}
	}
	s.store, err = newStore(s.ip(1))
	s.log("trouble: %v", trouble)
	return s, err
}

// checkFree returns an error if a port is in use.
func checkFree(ip string, port int) error {
	listener, err := net.Listen("tcp4", fmt.Sprint(ip, ":", port))
	if err != nil {
		return err
	}
	return listener.Close()
}

// ip returns the loopback address of machine n.
func (s *scene) ip(n int) string { return fmt.Sprint(s.subnet, n) }

// log writes a line with the time since the start to the record.
func (s *scene) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f ", time.Since(s.started).Seconds())
	fmt.Fprintf(s.record, format+"\n", args...)
}

// newID returns a new request ID.
func (s *scene) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	return fmt.Sprintf("%016x", 0x9c41000000000000+uint64(s.lastID))
}

// setupError is the panic value of a failed setup.
type setupError struct{ error }

// require ends the case if the setup failed.
func require(err error) {
	if err != nil {
		panic(setupError{err})
	}
}

// play runs a case and returns whether the rule was broken.
func (s *scene) play(run func(*scene) bool) (broken bool, err error) {
	defer func() {
		if failed, ok := recover().(setupError); ok {
			err = failed.error
		}
	}()
	broken = run(s)
	s.log("rule broken: %v", broken)
	return broken, nil
}

// close ends all processes that the case started.
func (s *scene) close() {
	s.mu.Lock()
	vms, workers := s.vms, s.workers
	s.mu.Unlock()
	for _, v := range vms {
		v.kill()
	}
	for _, w := range workers {
		w.close()
	}
	_ = os.RemoveAll(s.dir)
}

// publish writes the next version of the configuration.
func (s *scene) publish(routes, services []any) {
	s.version += 3
	s.store.put(wire.ConfigKey, map[string]any{
		"version": s.version, "routes": routes, "services": services,
		"limits":  map[string]any{"header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": "bozi300", "api_keys": []string{apiKey}}},
	})
}

const (
	// apiKey is the key of the only tenant.
	apiKey = "9dnn2ctnfzs989anu6ws"
	// host is the host of all routes.
	host = "pule25.example"
)

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	require(err)
	return data
}
