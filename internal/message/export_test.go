package message

import (
	"maps"
	"slices"
)

// Types returns the types of all messages, sorted.
func Types() []Type { return slices.Sorted(maps.Keys(decoders)) }
