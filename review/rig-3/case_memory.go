package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	// packBytes is the size of a bundle; packsPerSecond are those that callers ask for, at all VMs together.
	packBytes, packsPerSecond = 6_000_000, 150
	// packLimit is the callers' time limit and the route's timeout.
	packLimit = 8 * time.Second
	// callerPart and callerPause are how a caller reads: a part, then a pause.
	callerPart, callerPause = 4 << 10, 200 * time.Millisecond
	memoryMB                = 284
	// cutLength is how long the VMs that callers are shown are cut off, cutPause the time between two cuts.
	cutLength, cutPause = 10 * time.Second, 12 * time.Second
	cutNumber           = 3
)

// residentBytes returns the memory of a process, as the platform sees it.
func (v *vm) residentBytes() int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// keeper does what the platform does with processes: it ends one that exceeds its memory and starts it again.
type keeper struct {
	dir  string
	mu   sync.Mutex
	ends map[string]int
	peak map[string]int64
}

func (k *keeper) watch(v *vm, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		used := v.residentBytes()
		k.mu.Lock()
		k.peak[v.name] = max(k.peak[v.name], used)
		k.mu.Unlock()
		if used <= memoryMB*1_000_000 && !v.hasEnded() {
			continue
		}
		note("the platform ends %s: %d MB of %d MB", v.name, used/1_000_000, memoryMB)
		v.kill()
		k.mu.Lock()
		k.ends[v.name]++
		k.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		v.start(k.dir)
	}
}

func memoryCase(dir string, hasTrouble bool) bool {
	s := newStore()
	s.put("op/config", configuration(7, "h.example",
		route{"tablet-pack", "/packs/", "download", "packs", int(packLimit.Milliseconds())},
		route{"tablet-list", "/list/", "safe", "packs", 2000}))
	for i := range 8 {
		t := s.newTarget(fmt.Sprintf("i-%d", i+1), "packs", 50+i)
		t.size = packBytes
	}
	vms := newFleet(dir, 12, s, func(settings map[string]any) {
		settings["source_address"] = strings.Split(settings["listen"].(map[string]any)["callers"].(string), ":")[0]
		settings["machine"] = map[string]any{"cpu_share": 0.32, "cores": 1, "link_mbps": 1000, "memory_mb": memoryMB, "descriptors": 4100}
	})
	time.Sleep(3 * time.Second)
	shown, _ := resolve(vms[0])
	callers := &directory{vms: vms}
	k := &keeper{dir: dir, ends: make(map[string]int), peak: make(map[string]int64)}
	end := time.Now().Add(2*time.Second + cutNumber*(cutLength+cutPause))
	var shownVMs []*vm
	for _, v := range vms {
		go k.watch(v, end)
		for _, address := range shown {
			if v.callers == address {
				shownVMs = append(shownVMs, v)
			}
		}
	}
	go func() {
		time.Sleep(2 * time.Second)
		for range cutNumber {
			for _, v := range shownVMs {
				if hasTrouble {
					note("%s is cut off from all targets", v.name)
					cutOff(v.ip, true)
				}
			}
			time.Sleep(cutLength)
			for _, v := range shownVMs {
				cutOff(v.ip, false)
			}
			note("no VM is cut off")
			time.Sleep(cutPause)
		}
	}()
	for i, v := range vms {
		if !slices.Contains(shownVMs, v) {
			go listAt(v, i, end)
		}
	}
	counts := &packCounts{}
	var wait sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		if n%packsPerSecond == 0 {
			note("%v; memory %s", counts, memoryOf(shownVMs))
		}
		address := callers.pick(rand.IntN(1000))
		wait.Go(func() { counts.load(address, n) })
		time.Sleep(time.Second / packsPerSecond)
	}
	wait.Wait()
	note("%v", counts)
	machines := 0
	for _, v := range vms {
		note("%s: ended %d times, at most %d MB of %d MB", v.name, k.ends[v.name], k.peak[v.name]/1_000_000, memoryMB)
		if k.ends[v.name] >= 3 {
			machines++
		}
	}
	note("%d of %d machines ended three times or more; the rule allows fewer than 2", machines, len(vms))
	return machines < 2
}

// listAt sends short requests to a VM, ten a second.
func listAt(v *vm, index int, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		if c, err := tryCaller(v.callers); err == nil {
			_ = c.send(sent{id: fmt.Sprintf("l%d-%d", index, n), method: http.MethodGet, path: "/list/all?size=100", host: "h.example", limitMs: 2000})
			c.await(http.MethodGet, 2*time.Second)
			c.close()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func memoryOf(vms []*vm) string {
	var texts []string
	for _, v := range vms {
		texts = append(texts, fmt.Sprintf("%s %d MB", v.name, v.residentBytes()/1_000_000))
	}
	return strings.Join(texts, ", ")
}

// packCounts counts how downloads ended.
type packCounts struct{ refused, late, broken atomic.Int64 }

// String returns the counts.
func (c *packCounts) String() string {
	return fmt.Sprintf("refused %d, ended by the time limit %d, broken off before %d", c.refused.Load(), c.late.Load(), c.broken.Load())
}

// load asks for a bundle and reads it slowly.
func (c *packCounts) load(address string, n int) {
	began := time.Now()
	caller, err := tryCaller(address)
	if err != nil {
		c.broken.Add(1)
		return
	}
	defer caller.close()
	note("caller sends p%d to %s: GET /packs/map", n, address)
	_ = caller.send(sent{id: fmt.Sprintf("p%d", n), method: http.MethodGet, path: "/packs/map", host: "h.example", limitMs: int(packLimit.Milliseconds())})
	_ = caller.conn.SetReadDeadline(began.Add(packLimit + 500*time.Millisecond))
	response, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		c.countEnd(began)
		return
	}
	note("caller: p%d gets %d", n, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		c.refused.Add(1)
		return
	}
	part := make([]byte, callerPart)
	for {
		if _, err := io.ReadFull(response.Body, part); err != nil {
			if !errors.Is(err, io.EOF) {
				c.countEnd(began)
			}
			return
		}
		time.Sleep(callerPause)
	}
}

func (c *packCounts) countEnd(began time.Time) {
	if time.Since(began) < packLimit*9/10 {
		c.broken.Add(1)
		return
	}
	c.late.Add(1)
}
