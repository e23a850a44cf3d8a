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

// logFlushTime is longer than the nodes buffer their log lines.
const logFlushTime = 300 * time.Millisecond

// classifyRefusals passes the logged reasons of all nodes to Checker.ClassifyRefusals.
func (s *Site) classifyRefusals() {
	time.Sleep(logFlushTime)
	reasons := make(map[netip.AddrPort]map[string]string)
	s.Checker.ClassifyRefusals(func(node netip.AddrPort, flow string) string {
		if reasons[node] == nil {
			reasons[node] = s.reasonsOf(node)
		}
		return reasons[node][flow]
	})
}

// reasonsOf returns the reason of the last refusal of each flow, from the logs of all processes of
// a node. Log files and lines that cannot be read are skipped. The refusals in them then have no
// reason, which ClassifyRefusals reports as a violation.
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

// readReasons adds the refusals in a log file to reasons.
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
