package propagation

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of the processor time in /proc (USER_HZ).
const clockTick = 10 * time.Millisecond

// usage is what a daemon's process has used.
type usage struct {
	pid     int
	core    time.Duration
	peakMB  float64
	running bool
}

// beginUsage begins the peaks of memory anew and returns the processor times so far.
func (f *fleet) beginUsage() []usage {
	for _, v := range f.vms {
		v.mu.Lock()
		if v.process != nil {
			const resetPeak = "5"
			_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", v.process.Process.Pid), []byte(resetPeak), 0o200) // otherwise the peak is that since the start
		}
		v.mu.Unlock()
	}
	return f.usage()
}

func (f *fleet) usage() []usage {
	var all []usage
	for _, v := range f.vms {
		v.mu.Lock()
		if v.process != nil {
			all = append(all, usageOf(v.process.Process.Pid))
		} else {
			all = append(all, usage{})
		}
		v.mu.Unlock()
	}
	return all
}

// usageOf reads what a process has used; running is false for one that has ended.
func usageOf(pid int) usage {
	u := usage{pid: pid}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u
	}
	const userField, systemField = 11, 12 // of those behind the name, see proc(5)
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= systemField {
		return u
	}
	for _, field := range []int{userField, systemField} {
		ticks, _ := strconv.ParseInt(fields[field], 10, 64) // the kernel writes numbers
		u.core += time.Duration(ticks) * clockTick
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // without it, the peak is 0
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			u.peakMB = kilobytes / 1024
		}
	}
	u.running = true
	return u
}

// addUsage adds what the daemons have used between two moments. One that was started between counts from its
// start.
func (r *Result) addUsage(before, after []usage) {
	counted := 0.0
	for i, u := range after {
		if !u.running {
			continue
		}
		used := u.core
		if before[i].pid == u.pid {
			used -= before[i].core
		}
		counted++
		r.CoreMs += milliseconds(used)
		r.CoreMsMax = max(r.CoreMsMax, milliseconds(used))
		r.PeakMB += u.peakMB
		r.PeakMBMax = max(r.PeakMBMax, u.peakMB)
	}
	if counted > 0 {
		r.CoreMs, r.PeakMB = r.CoreMs/counted, r.PeakMB/counted
	}
}
