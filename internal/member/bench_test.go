package member_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkMembership measures in virtual time, at each size: the traffic of a
// node in a calm fleet, and how long a killed node, or a twentieth of all nodes
// killed at once, stays in any view.
func BenchmarkMembership(b *testing.B) {
	for _, size := range []int{12, 48, 192, 840} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				fleet := settled(b, size, 3)
				fleet.packs = true
				fleet.runFor(5 * time.Second)
				fleet.resetBytes()
				const calm = 10 * time.Second
				wall := time.Now()
				fleet.runFor(calm)
				perNode := time.Since(wall) / time.Duration(size) / time.Duration(calm.Seconds())
				mean, highest := fleet.bytesPerSecond(calm)
				b.ReportMetric(float64(perNode.Microseconds()), "calm-us/node-s") // simulation included
				b.ReportMetric(mean, "calm-B/s")
				b.ReportMetric(highest, "calm-max-B/s")

				const kills = 5
				fleet.resetBytes()
				begun := fleet.queue.Now()
				var sum, longest time.Duration
				for kill := range kills {
					victim := fleet.nodes[(kill*7+3)%size]
					victim.down = true
					took, ok := fleet.runUntil(30*time.Second, func() bool { return fleet.viewedBy(victim.machine.ID, false, nil) })
					if !ok {
						b.Fatalf("%s is still in a view after 30 s", victim.machine.ID)
					}
					sum += took
					longest = max(longest, took)
				}
				mean, highest = fleet.bytesPerSecond(fleet.queue.Now() - begun)
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
					b.Fatal("nodes that died together are still in a view after 30 s")
				}
				_, highest = fleet.bytesPerSecond(took)
				b.ReportMetric(took.Seconds(), "rack-s")
				b.ReportMetric(highest, "rack-max-B/s")
			}
		})
	}
}
