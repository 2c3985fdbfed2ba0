package daemon

import (
	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/entry/machine"
	"github.com/primroseloom/primroseloom/entry/proxy"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/policy/bytebudget"
)

// refusalFields are the fields of a refusal by which callers tell that a request has not run.
const refusalFields = proxy.OutcomeHeader + ": not_run\r\n"

// memoryMB returns the memory in megabytes that the instance may use, 0 if it is not known.
func memoryMB(limits settings.Limits) float64 {
	if limits.MemoryMB > 0 {
		return limits.MemoryMB
	}
	memory, err := machine.MemoryMB()
	if err != nil {
		return 0
	}
	return memory
}

// limitMemory sets the bounds on what is held for callers: one half is for what they send, the other one
// for responses.
func limitMemory(limits *proxy.Limits, memoryMB float64) {
	if memoryMB <= 0 {
		return
	}
	half := bytebudget.Limit(memoryMB) / 2
	limits.MaxCallerBytes = half
	limits.MaxBufferedBytes = min(limits.MaxBufferedBytes, half)
}

// framingOptions returns the options of connections. What they keep counts toward the budget of what callers
// send.
func (d *Daemon) framingOptions() framing.Options {
	return framing.Options{Logger: d.logger, Scope: d.metrics.Scope(), NewHold: d.proxy.NewHold, RefusalFields: refusalFields}
}

// callerFraming returns the options of callers' connections, which make room for others.
func (d *Daemon) callerFraming(connections *readahead.Watcher) framing.Options {
	options := d.framingOptions()
	options.MakeRoom = connections.CloseHolding
	return options
}
