// Package replay holds recordings of decision rounds of an earlier version, and a test that the decisions are still the
// same, to the last bit. The recordings name things as the platform does, and nothing by identifiers of the code.
package replay
