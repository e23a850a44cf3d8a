package view

// What tests of other packages need of this one.
var (
	WriteColumns = writeColumns
	ReadColumns  = readColumns
)
