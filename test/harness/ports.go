package harness

import (
	"fmt"
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

// isPortFree returns whether the port can be listened on. It binds a socket but does not
// listen: a child that another goroutine is starting holds a copy of the socket until its
// exec, and a copy of a listening socket would keep the port in use after the check.
func isPortFree(port int) bool {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return false
	}
	defer unix.Close(fd)
	// As in net.Listen, connections that a previous listener accepted do not occupy the port.
	if unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) != nil {
		return false
	}
	return unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}) == nil
}
