//go:build !linux

package cluster

import "syscall"

// attributes puts a child in its own process group, so that an interrupt at
// the terminal does not reach it before its parent ends it.
func attributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
