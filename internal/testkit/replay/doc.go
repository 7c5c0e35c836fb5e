// Package replay contains recordings of the decision rounds of an earlier version, and a test that the decisions are
// still the same, to the last bit. The recordings use the platform's names and no identifiers of the code.
package replay
