package frontend

import (
	"net"
	"os"
	"runtime/debug"

	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/entry/slowreader"
	"github.com/primroseloom/primroseloom/policy/offer"
)

// Share of the VM's memory, beside that of the program, at which the garbage collector begins to work
// harder. The rest is for what it doesn't count: the kernel's socket buffers.
const (
	collectedShare = 0.8
	// programBytes is what the program's own pages need.
	programBytes     = 20e6
	bytesPerMegabyte = 1e6
	// memoryLimitVariable is the runtime's own setting, which goes first.
	memoryLimitVariable = "GOMEMLIMIT"
)

// LimitMemory sets the soft memory limit of this process, all instances in it together, from
// machine.memory_mb. It returns the limit in bytes, or 0 when it leaves the runtime alone:
// without the setting, and when the environment sets a limit.
func LimitMemory(machine settings.Machine) int64 {
	if machine.MemoryMB <= 0 || os.Getenv(memoryLimitVariable) != "" {
		return 0
	}
	memory := machine.MemoryMB * bytesPerMegabyte
	limit := int64(max(memory-programBytes, memory/2) * collectedShare)
	debug.SetMemoryLimit(limit)
	return limit
}

// watchProgress returns a listener of callers' connections that end when the caller reads
// nothing; without machine.memory_mb, they are left alone.
func (f *Frontend) watchProgress(inner net.Listener) net.Listener {
	if f.options.Settings.Machine.MemoryMB <= 0 {
		return inner
	}
	return slowreader.Listener(inner)
}

// framingOptions returns the options of connections. What they keep counts toward the same budget as requests
// and responses.
func (f *Frontend) framingOptions() framing.Options {
	options := framing.Options{Logger: f.options.Logger, Scope: f.metrics.Scope()}
	if f.options.Settings.Machine.MemoryMB > 0 {
		options.NewHold = f.gateway.NewHold
	}
	return options
}

// callerFraming returns the options of callers' connections, which make room for others.
func (f *Frontend) callerFraming(connections *readahead.Watcher) framing.Options {
	options := f.framingOptions()
	options.MakeRoom = connections.CloseHolding
	return options
}

// capacityOf returns the requests a second that a machine can serve.
func capacityOf(machine settings.Machine) uint32 {
	return offer.Capacity(machine.CPUShare*machine.Cores, machine.LinkMbps)
}
