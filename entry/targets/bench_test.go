package targets

import (
	"fmt"
	"io"
	"runtime"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/generate"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/standin/memnet"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// fleetOf840 implements contract.Members for the first of 840 VMs in 10 zones of
// 3 regions.
type fleetOf840 struct {
	singleVM
	members []*primroseloomv1.Member
}

func newFleetOf840() fleetOf840 {
	var f fleetOf840
	for i := range 840 {
		f.members = append(f.members, &primroseloomv1.Member{
			Vm:     fmt.Sprintf("vm-%03d", i),
			Zone:   fmt.Sprintf("zone-%d", i%10),
			Region: fmt.Sprintf("region-%d", i%10%3),
			Status: primroseloomv1.MemberStatus_MEMBER_STATUS_ALIVE,
		})
	}
	return f
}

// Self returns the first VM.
func (f fleetOf840) Self() *primroseloomv1.Member { return f.members[0] }

// Members returns all VMs of the fleet.
func (f fleetOf840) Members() []*primroseloomv1.Member { return f.members }

// BenchmarkTickAtDesignSize measures one round of periodic work on a VM with 260
// services and 9,300 targets, and the heap memory that they take.
func BenchmarkTickAtDesignSize(b *testing.B) {
	deployment := generate.Deployment(generate.DesignSizes(), 1)
	deployment.Customers = nil
	configuration := &fixedConfiguration{current: snapshot.Build(1, []document.Shard{document.Shard(deployment)}, nil)}
	before := heapBytes()
	manager := New(configuration, memnet.New().Host("10.0.0.1"), newFleetOf840(), metrics.New(), log.New(io.Discard))
	usedBytes := heapBytes() - before
	for b.Loop() {
		manager.tick(b.Context())
	}
	b.ReportMetric(float64(usedBytes)/(1<<20), "MB")
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
