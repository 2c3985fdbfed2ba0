package peer

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/network"
	"github.com/primroseloom/primroseloom/policy/membership"
)

// BenchmarkControlCost measures the cost of the membership per instance. All
// instances run in one process and communicate over the loopback interface. The
// reported bytes are those that an instance writes to its sockets; it receives as
// many. CPU time and memory are those of the process divided by the number of
// instances.
func BenchmarkControlCost(b *testing.B) {
	cases := []struct {
		count          int
		tls            bool
		changeInterval time.Duration
	}{
		{12, true, 0}, {36, true, 0}, {36, false, 0}, {100, true, 0}, {200, true, 0}, {200, false, 0},
		{100, true, 10 * time.Second}, {100, true, 5 * time.Second},
	}
	for _, c := range cases {
		b.Run(fmt.Sprintf("instances=%d/tls=%t/change=%s", c.count, c.tls, c.changeInterval), func(b *testing.B) {
			for b.Loop() {
				measureCost(b, c.count, c.tls, c.changeInterval)
			}
		})
	}
}

// measureCost runs a fleet and reports its cost. All instances get a new
// configuration generation once per changeInterval, unless it is zero.
func measureCost(b *testing.B, count int, withTLS bool, changeInterval time.Duration) {
	const settle, window = 10 * time.Second, 20 * time.Second
	before := heapBytes()
	managers, stop := startLoopback(b, 1, count, withTLS)
	defer stop()
	waitForAll(b, managers)
	time.Sleep(settle)
	done := make(chan struct{})
	if changeInterval > 0 {
		go changeGenerations(managers, changeInterval, done)
	}
	sent, cpuUsed := sentBytes(managers), cpuTime()
	time.Sleep(window)
	sent, cpuUsed = sentBytes(managers)-sent, cpuTime()-cpuUsed
	close(done)
	instanceSeconds := window.Seconds() * float64(count)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(sent)/instanceSeconds, "sent-B/instance-s")
	b.ReportMetric(100*cpuUsed.Seconds()/instanceSeconds, "%core/instance")
	b.ReportMetric(float64(heapBytes()-before)/float64(count)/1024, "KiB/instance")
}

// waitForAll waits until each instance sees all others alive.
func waitForAll(b *testing.B, managers []*Manager) {
	const timeout = 90 * time.Second
	begin := time.Now()
	for slices.ContainsFunc(managers, func(m *Manager) bool { return countAlive(m) != len(managers) }) {
		if time.Since(begin) > timeout {
			b.Fatalf("%d instances do not all see one another alive after %s", len(managers), timeout)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// changeGenerations sets a new configuration generation on all instances once per
// interval.
func changeGenerations(managers []*Manager, interval time.Duration, done chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for generation := uint64(1); ; generation++ {
		for _, m := range managers {
			m.SetConfiguration(generation, "", 0)
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// startLoopback runs instances on the addresses 127.0.subnet.1 and up. The returned
// function stops them.
func startLoopback(b *testing.B, subnet, count int, withTLS bool) ([]*Manager, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	signer := newAuthority(b)
	var managers []*Manager
	var closers []io.Closer
	for i := range count {
		files := TLSFiles{Off: true}
		if withTLS {
			files = signer.issue(b.TempDir(), "spa")
		}
		address := fmt.Sprintf("127.0.%d.%d:17000", subnet, i+1)
		m, err := New(Settings{Fleet: "spa", VM: fmt.Sprintf("vm%d", i), Region: "region", Zone: fmt.Sprintf("zone%d", i%3),
			Instance: uint64(i + 1), CallersAddress: address, PeersAddress: address, Seed: uint64(i),
			FirstPeers: []string{fmt.Sprintf("127.0.%d.1:17000", subnet)}, TLS: files}, network.OS{}, log.New(io.Discard), tally.NoopScope)
		if err != nil {
			b.Fatal(err)
		}
		listener, err := network.OS{}.Listen(ctx, address)
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = m.Serve(listener) }()
		go func() { _ = m.Run(ctx) }()
		managers = append(managers, m)
		closers = append(closers, listener)
	}
	return managers, func() {
		cancel()
		for _, closer := range closers {
			_ = closer.Close()
		}
		time.Sleep(3 * time.Second)
	}
}

func sentBytes(managers []*Manager) int64 {
	var total int64
	for _, m := range managers {
		total += m.traffic.sent.Load()
	}
	return total
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// BenchmarkPing measures a ping over the connection in use and over a new one: the
// CPU time of both sides and the bytes in both directions.
func BenchmarkPing(b *testing.B) {
	for _, newConnection := range []bool{false, true} {
		b.Run(fmt.Sprintf("newConnection=%t", newConnection), func(b *testing.B) {
			managers, stop := startLoopback(b, 2, 2, true)
			defer stop()
			time.Sleep(3 * time.Second)
			m := managers[0]
			to := membership.Member{VM: "vm1", PeersAddress: managers[1].settings.PeersAddress}
			message := membership.Message{From: m.state.Self(m.settings.Clock())}
			sent, cpuUsed := sentBytes(managers), cpuTime()
			for b.Loop() {
				if newConnection {
					m.pool.forget(to.PeersAddress)
				}
				if _, err := m.sendPing(b.Context(), to, message, newConnection); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(sentBytes(managers)-sent)/float64(b.N), "wire-B/op")
			b.ReportMetric(float64((cpuTime()-cpuUsed).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// forget removes the candidate connection to an address, so that the next call of
// clientOnNewConnection opens another one.
func (p *pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.candidates, address)
}
