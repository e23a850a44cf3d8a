package member_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkMembership measures, in virtual time and per fleet size, the traffic of a node in a
// stable fleet, and how long it takes until no view contains a killed node any more, or a twentieth
// of all nodes killed at once.
func BenchmarkMembership(b *testing.B) {
	for _, size := range []int{12, 48, 192, 840} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				fleet := convergedFleet(b, size, 3)
				fleet.compress = true
				fleet.runFor(5 * time.Second)
				fleet.resetBytes()
				const stable = 10 * time.Second
				wall := time.Now()
				fleet.runFor(stable)
				perNode := time.Since(wall) / time.Duration(size) / time.Duration(stable.Seconds())
				mean, highest := fleet.bytesPerSecond(stable)
				b.ReportMetric(float64(perNode.Microseconds()), "calm-us/node-s") // includes the simulation
				b.ReportMetric(mean, "calm-B/s")
				b.ReportMetric(highest, "calm-max-B/s")

				const kills = 5
				fleet.resetBytes()
				startedAt := fleet.queue.Now()
				var sum, longest time.Duration
				for kill := range kills {
					victim := fleet.nodes[(kill*7+3)%size]
					victim.down = true
					took, ok := fleet.runUntil(30*time.Second, func() bool { return fleet.viewedBy(victim.machine.ID, false, nil) })
					if !ok {
						b.Fatalf("a view still contains %s after 30 s", victim.machine.ID)
					}
					sum += took
					longest = max(longest, took)
				}
				mean, highest = fleet.bytesPerSecond(fleet.queue.Now() - startedAt)
				b.ReportMetric((sum / kills).Seconds(), "kill-mean-s")
				b.ReportMetric(longest.Seconds(), "kill-max-s")
				b.ReportMetric(mean, "kill-B/s")
				b.ReportMetric(highest, "kill-max-B/s")
				if !fleet.agreed() {
					b.Error("views differ after the kills")
				}

				fleet.runFor(10 * time.Second)
				fleet.resetBytes()
				rack := max(2, size/20)
				for _, node := range fleet.nodes[size/2 : size/2+rack] {
					node.down = true
				}
				took, ok := fleet.runUntil(30*time.Second, fleet.agreed)
				if !ok {
					b.Fatal("a view still contains simultaneously killed nodes after 30 s")
				}
				_, highest = fleet.bytesPerSecond(took)
				b.ReportMetric(took.Seconds(), "rack-s")
				b.ReportMetric(highest, "rack-max-B/s")
			}
		})
	}
}
