package snapshot

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/primroseloom/primroseloom/config/generate"
	"github.com/primroseloom/primroseloom/config/render"
)

func gzipSize(content []byte) int {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, _ = writer.Write(content)
	_ = writer.Close()
	return buffer.Len()
}

// BenchmarkLoad builds a snapshot of the design size from scratch and reports
// the published bytes and the memory that the snapshot keeps.
func BenchmarkLoad(b *testing.B) {
	deployment := generate.Deployment(generate.DesignSizes(), 1)
	root, shards, err := render.Render(deployment, 1)
	if err != nil {
		b.Fatal(err)
	}
	rootText, _ := json.Marshal(root)
	published := 0
	for _, content := range shards {
		published += len(content)
	}
	var before, after runtime.MemStats
	for b.Loop() {
		b.StopTimer()
		runtime.GC()
		runtime.ReadMemStats(&before)
		b.StartTimer()
		snap, err := Compile(root, "", shards, nil)
		b.StopTimer()
		if err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(snap)
		b.StartTimer()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "index-bytes")
	b.ReportMetric(float64(published), "shard-bytes")
	b.ReportMetric(float64(len(rootText)), "root-bytes")
	b.ReportMetric(float64(len(shards)), "shards")
	b.ReportMetric(float64(gzipSize(rootText)), "root-gzip-bytes")
	compressedBytes := 0
	for _, content := range shards {
		compressedBytes += gzipSize(content)
	}
	b.ReportMetric(float64(compressedBytes)/float64(len(shards)), "shard-gzip-bytes")
}

// BenchmarkChangeOfOneCustomer applies a change of one customer's rate.
func BenchmarkChangeOfOneCustomer(b *testing.B) {
	deployment := generate.Deployment(generate.DesignSizes(), 1)
	snap := compile(b, deployment, 1, nil)
	for generation := uint64(2); b.Loop(); generation++ {
		b.StopTimer()
		rate := json.RawMessage(fmt.Sprint(1 + generation%50))
		deployment.Customers[generation%38000].Parameters = map[string]json.RawMessage{"rate": rate}
		root, shards, err := render.Render(deployment, generation)
		if err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		next, err := Compile(root, "", shards, snap)
		if err != nil {
			b.Fatal(err)
		}
		snap = next
	}
}

// BenchmarkChangeOfOneTemplate applies a change that touches one customer in 24.
func BenchmarkChangeOfOneTemplate(b *testing.B) {
	deployment := generate.Deployment(generate.DesignSizes(), 1)
	snap := compile(b, deployment, 1, nil)
	for generation := uint64(2); b.Loop(); generation++ {
		b.StopTimer()
		deployment.Templates[0].Limits.Queue = json.RawMessage(fmt.Sprint(generation % 50))
		root, shards, err := render.Render(deployment, generation)
		if err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		next, err := Compile(root, "", shards, snap)
		if err != nil {
			b.Fatal(err)
		}
		snap = next
	}
}
