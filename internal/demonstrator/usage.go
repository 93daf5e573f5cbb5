package demonstrator

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc. The Linux kernel reports them in
// 1/100 s on all of its architectures that Go supports.
const clockTick = 10 * time.Millisecond

// CPUTime returns the processor time that the process has used, in user and kernel
// mode, with a resolution of 10 ms.
func (p *Process) CPUTime() (time.Duration, error) {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/stat")
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return parseStat(string(content))
}

// parseStat reads utime and stime, the 14th and 15th field of proc_pid_stat(5). The
// second field, the name in parentheses, may contain spaces.
func parseStat(line string) (time.Duration, error) {
	fields := strings.Fields(line[strings.LastIndexByte(line, ')')+1:])
	const utime = 14 - 3 // fields starts with the third one
	if len(fields) <= utime+1 {
		return 0, Error.New("/proc/PID/stat: got %d fields after the name, want more than %d", len(fields), utime+1)
	}
	var ticks int64
	for _, field := range fields[utime : utime+2] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, Error.New("/proc/PID/stat: processor time %q: want an integer", field)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}
