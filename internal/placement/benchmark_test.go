package placement_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// benchmarkDocument returns a document with one generation, or with two if buckets are to be in
// motion.
func benchmarkDocument(b *testing.B, moving bool) *lb.Placement {
	b.Helper()
	document, err := placement.New("wallet-core", stamp(1), placement.Prepare(targets(14)), placement.Commit())
	if err == nil && moving {
		document, err = placement.Next(document, stamp(2), placement.Prepare(targets(13)), placement.Commit())
	}
	if err != nil {
		b.Fatal(err)
	}
	return document
}

func BenchmarkCompile(b *testing.B) {
	for _, moving := range []bool{false, true} {
		document := benchmarkDocument(b, moving)
		b.Run(fmt.Sprintf("moving=%t", moving), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := placement.Compile(document); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkTableMemory reports the heap memory of a table together with its decoded document.
func BenchmarkTableMemory(b *testing.B) {
	for _, moving := range []bool{false, true} {
		encoded, err := json.Marshal(benchmarkDocument(b, moving))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("moving=%t", moving), func(b *testing.B) {
			const count = 3300
			for b.Loop() {
				b.ReportMetric(heapPerTable(b, encoded, count), "bytes/table")
			}
		})
	}
}

// heapPerTable compiles count tables and returns the heap memory of each.
func heapPerTable(b *testing.B, encoded []byte, count int) float64 {
	tables := make([]*placement.Table, count)
	before := liveHeap()
	for index := range tables {
		document := new(lb.Placement)
		if err := json.Unmarshal(encoded, document); err != nil {
			b.Fatal(err)
		}
		tables[index], _ = placement.Compile(document)
	}
	held := liveHeap() - before
	runtime.KeepAlive(tables)
	return float64(held) / float64(count)
}

func liveHeap() uint64 {
	var statistics runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}

func BenchmarkLookup(b *testing.B) {
	table, err := placement.Compile(benchmarkDocument(b, true))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	var bucket uint16
	for b.Loop() {
		bucket = (bucket + 1) % lb.BucketCount
		if table.InMotion(bucket) || table.HasHistory(bucket) {
			_ = table.Current(bucket)
		}
		_, _ = table.Backend(table.Base(bucket))
	}
}
