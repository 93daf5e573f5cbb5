package crowder

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("crowder")

const descriptorInterval = 20 * time.Millisecond

// Usage observes the largest memory and the largest number of open descriptors of a process.
type Usage struct {
	pid  int
	done chan struct{}
	wg   sync.WaitGroup

	mu  sync.Mutex
	fds int
}

// Observe begins to observe a process.
func Observe(pid int) *Usage {
	u := &Usage{
		pid:  pid,
		done: make(chan struct{}),
	}
	u.wg.Go(u.countRepeatedly)
	return u
}

// CountDescriptors counts the open descriptors at this moment.
func (u *Usage) CountDescriptors() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid))
	if err != nil {
		return // the process has ended, which Peak reports
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fds = max(u.fds, len(entries))
}

func (u *Usage) countRepeatedly() {
	ticker := time.NewTicker(descriptorInterval)
	defer ticker.Stop()
	for {
		u.CountDescriptors()
		select {
		case <-u.done:
			return
		case <-ticker.C:
		}
	}
}

// Peak ends the observation and returns the largest resident memory in MB and the largest number of
// descriptors. It fails if the process has ended. It must be called once.
func (u *Usage) Peak() (memoryMB, descriptors int, err error) {
	close(u.done)
	u.wg.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	if err != nil {
		return 0, 0, Error.Wrap(err)
	}
	for line := range strings.Lines(string(status)) {
		if kb, found := strings.CutPrefix(line, "VmHWM:"); found {
			n, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(kb), " kB"))
			return n >> 10, u.fds, Error.Wrap(err)
		}
	}
	return 0, 0, Error.New("process %d has ended", u.pid)
}
