package harness

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	// firstPort to lastPort is below the kernel's ephemeral port range, so that no
	// outgoing connection takes a port between its allocation and its use.
	firstPort = 10000
	lastPort  = 20000
	// portsPerBlock is the number of ports that one lock file reserves; a deployment needs
	// about 100.
	portsPerBlock = 100
)

// ports allocates loopback ports in blocks. Lock files reserve the blocks, so that
// concurrent test processes do not allocate the same ports.
var ports = &portAllocator{}

type portAllocator struct {
	mu         sync.Mutex
	nextBlock  int
	candidates []int
	lockFiles  []*os.File
}

// allocate returns n ports on which no process listens.
func (p *portAllocator) allocate(n int) ([]int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var allocated []int
	for len(allocated) < n {
		if len(p.candidates) == 0 {
			if err := p.reserveBlock(); err != nil {
				return nil, err
			}
		}
		port := p.candidates[0]
		p.candidates = p.candidates[1:]
		if isPortFree(port) {
			allocated = append(allocated, port)
		}
	}
	return allocated, nil
}

func (p *portAllocator) reserveBlock() error {
	for firstPort+(p.nextBlock+1)*portsPerBlock <= lastPort {
		start := firstPort + p.nextBlock*portsPerBlock
		p.nextBlock++
		name := filepath.Join(os.TempDir(), fmt.Sprintf("hoist-ports-%d.lock", start))
		file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o644)
		if err != nil {
			return err
		}
		if unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
			_ = file.Close()
			continue
		}
		p.lockFiles = append(p.lockFiles, file)
		for i := range portsPerBlock {
			p.candidates = append(p.candidates, start+i)
		}
		return nil
	}
	return fmt.Errorf("no free port block between %d and %d", firstPort, lastPort)
}

func isPortFree(port int) bool {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
