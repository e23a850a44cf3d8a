package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is one balancer: a process started by the run line of the deploy file.
type node struct {
	name, zone                       string
	addr                             netip.Addr
	dataPort, controlPort, readyPort uint16
	settings                         string
	log                              *os.File

	mutex       sync.Mutex
	process     *exec.Cmd
	ended       chan struct{}
	publishedAt time.Time // when it last wrote to the store under a condition
}

// runLine returns the words of the run line of deploy/system.toml and the path of its template.
func runLine() (words []string, template string, err error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, "", err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	tmpl := regexp.MustCompile(`(?m)^template = "(.*)"`).FindSubmatch(text)
	if run == nil || tmpl == nil {
		return nil, "", fmt.Errorf("deploy/system.toml has no run line or no template")
	}
	return strings.Fields(string(run[1])), string(tmpl[1]), nil
}

// fill fills a template as DEPLOY.md tells, as far as deploy/settings.template needs it.
func fill(template string, fields map[string]any) string {
	section := regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		if lookUp(fields, parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	gap := regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
	return gap.ReplaceAllStringFunc(template, func(text string) string {
		parts := gap.FindStringSubmatch(text)
		value := lookUp(fields, parts[1])
		if parts[2] != "" {
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

func lookUp(fields map[string]any, path string) any {
	var value any = fields
	for name := range strings.SplitSeq(path, ".") {
		table, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = table[name]
	}
	return value
}

// bounds are those of the small deployment further/kfr-accra.toml.
var bounds = map[string]any{"grace_s": 6, "config_apply_ms": 3000, "drain_ms": 3000}

// write writes the settings file of a node.
func (n *node) write(template, dir, storeAddress string, seeds []string) error {
	listen := map[string]any{
		"datagram_addr": fmt.Sprintf("%s:%d", n.addr, n.dataPort),
		"ready":         fmt.Sprintf("%s:%d", n.addr, n.readyPort),
		"control":       fmt.Sprintf("%s:%d", n.addr, n.controlPort),
	}
	text := fill(template, map[string]any{
		"node_name": n.name, "zone": n.zone, "region": "accra", "listen_addrs": listen, "seeds": seeds,
		"platform": map[string]any{"address": storeAddress}, "bounds": bounds,
	})
	n.settings = filepath.Join(dir, n.name+".yaml")
	return os.WriteFile(n.settings, []byte(text), 0o644)
}

// start starts the process with the run line.
func (n *node) start(words []string) error {
	arguments := append([]string(nil), words[1:]...)
	for index, word := range arguments {
		if strings.HasPrefix(word, "/etc/robinpulley/") {
			arguments[index] = n.settings
		}
	}
	process := exec.Command(words[0], arguments...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := process.StdoutPipe()
	if err != nil {
		return err
	}
	process.Stderr = n.log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mutex.Lock()
	n.process, n.ended = process, ended
	n.mutex.Unlock()
	go func() {
		n.follow(output)
		process.Wait()
		close(ended)
	}()
	return nil
}

// follow copies the log of the process and notes its writes to the store.
func (n *node) follow(output io.Reader) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		fmt.Fprintln(n.log, line)
		if strings.Contains(line, `"kind":"publish"`) && strings.Contains(line, `"failure":""`) {
			n.mutex.Lock()
			n.publishedAt = time.Now()
			n.mutex.Unlock()
		}
	}
	io.Copy(io.Discard, output)
}

func (n *node) signal(s syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.process != nil {
		n.process.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mutex.Lock()
	ended := n.ended
	n.mutex.Unlock()
	if ended != nil {
		<-ended
	}
}

// alive reports whether the process runs.
func (n *node) alive() bool {
	n.mutex.Lock()
	ended := n.ended
	n.mutex.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// lastWriter returns the node that last wrote to the store under a condition.
func lastWriter(nodes []*node) *node {
	var last *node
	var lastAt time.Time
	for _, n := range nodes {
		n.mutex.Lock()
		if n.publishedAt.After(lastAt) {
			last, lastAt = n, n.publishedAt
		}
		n.mutex.Unlock()
	}
	return last
}

// freePort returns a port that is free for UDP and TCP at all given addresses.
func freePort(addrs []netip.Addr, taken map[uint16]bool) (uint16, error) {
	for range 100 {
		probe, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := uint16(probe.Addr().(*net.TCPAddr).Port)
		probe.Close()
		if !taken[port] && isFree(addrs, port) {
			taken[port] = true
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

func isFree(addrs []netip.Addr, port uint16) bool {
	for _, addr := range addrs {
		tcp, err := net.Listen("tcp", netip.AddrPortFrom(addr, port).String())
		if err != nil {
			return false
		}
		tcp.Close()
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, port)))
		if err != nil {
			return false
		}
		udp.Close()
	}
	return true
}
