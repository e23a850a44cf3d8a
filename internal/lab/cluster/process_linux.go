package cluster

import "syscall"

// processAttributes returns attributes that put a child into a process group of its own and kill it
// when its parent dies. An interrupt from the terminal then reaches only the parent, which stops
// the child.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
