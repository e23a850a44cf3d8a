package view

// These names export internals to the tests in package view_test.
var (
	WriteColumns = writeColumns
	ReadColumns  = readColumns
)
