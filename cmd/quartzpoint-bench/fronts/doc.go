// Package fronts implements the front ends of the conformance cases that use the library: the gate in process, and its
// middleware for net/http and gin. It is separate from internal/testkit/conformance, because no package under internal
// imports the root package.
package fronts
