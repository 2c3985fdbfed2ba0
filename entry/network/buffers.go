package network

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// Buffers bounds the kernel's buffers of a connection, which count toward the VM's memory. 0
// leaves a buffer to the kernel.
type Buffers struct {
	// UnsentBytes is how much may be written that is not sent yet (TCP_NOTSENT_LOWAT). What
	// is under way is not bounded, so the bandwidth of a long path is not, either.
	UnsentBytes int
	// ReceiveBytes is how much may be received that is not read yet (SO_RCVBUF).
	ReceiveBytes int
}

// CallersReceiveBytes is how much of a caller's connection the kernel may hold that is not read yet.
const CallersReceiveBytes = 16 << 10

// Bounds for VMs with a bound on their memory.
var (
	// CallersBuffers let a caller that does not read, or that is not read, keep one part in the kernel, which
	// doubles what it is told to receive: that is enough for 2 MB/s on a path of 16 ms.
	CallersBuffers = Buffers{UnsentBytes: 16 << 10, ReceiveBytes: CallersReceiveBytes}
	// TargetsBuffers are enough for 45 MB/s at 1.4 ms between zones. What a target does not read of a body
	// stays with its caller, but for one part.
	TargetsBuffers = Buffers{UnsentBytes: 64 << 10, ReceiveBytes: 64 << 10}
)

// control sets the options of a socket before it listens or connects; connections of a
// listener inherit them.
func (o OS) control(network, address string, raw syscall.RawConn) error {
	if err := o.patience().setUserTimeout(network, address, raw); err != nil {
		return err
	}
	for _, option := range []struct{ bytes, level, name int }{
		{o.Buffers.UnsentBytes, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT},
		{o.Buffers.ReceiveBytes, unix.SOL_SOCKET, unix.SO_RCVBUF},
	} {
		if option.bytes == 0 {
			continue
		}
		if err := setOption(raw, option.level, option.name, option.bytes); err != nil {
			return fmt.Errorf("bound buffers of socket for %s: %w", address, err)
		}
	}
	return nil
}

// setOption sets an integer option of a socket.
func setOption(raw syscall.RawConn, level, name, value int) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), level, name, value) })
	if err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	return failed
}
