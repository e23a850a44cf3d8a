//go:build tools

// Package tools pins the versions of the development tools; nothing of it is linked into the product.
package tools

import (
	_ "honnef.co/go/tools/cmd/staticcheck"
	_ "mvdan.cc/gofumpt"
)
