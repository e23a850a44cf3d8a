package cluster

import "syscall"

// attributes puts a child in its own process group, so that an interrupt at
// the terminal does not reach it before its parent ends it, and ends it if its
// parent dies.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
