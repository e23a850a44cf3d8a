package soak

import (
	"bufio"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"robinpulley.example/robinpulley/internal/logging"
)

// logFlush is longer than lines wait for being written.
const logFlush = 300 * time.Millisecond

// explain judges refusals by the reasons in the logs of the nodes that refused.
func (s *Site) explain() {
	time.Sleep(logFlush)
	reasons := make(map[netip.AddrPort]map[string]string)
	s.Checker.Explain(func(node netip.AddrPort, flow string) string {
		if reasons[node] == nil {
			reasons[node] = s.reasonsOf(node)
		}
		return reasons[node][flow]
	})
}

// reasonsOf gives the reason of the last refusal of each flow, by the logs of all runs of a
// node. What cannot be read is missing, and a refusal without a reason is a promise broken.
func (s *Site) reasonsOf(address netip.AddrPort) map[string]string {
	reasons := make(map[string]string)
	for _, node := range s.Nodes {
		if node.Data != address {
			continue
		}
		logs, err := filepath.Glob(filepath.Join(s.Settings.Directory, node.Name+".*.log"))
		if err != nil {
			return reasons
		}
		for _, log := range logs {
			readReasons(log, reasons)
		}
	}
	return reasons
}

func readReasons(log string, reasons map[string]string) {
	file, err := os.Open(log)
	if err != nil {
		return
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct{ Event, Flow, Reason string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == string(logging.EventRefused) {
			reasons[line.Flow] = line.Reason
		}
	}
}
