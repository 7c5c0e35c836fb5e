// Package fronts starts the fronts of the conformance cases that are made of the library: the gate in process, and its
// middleware for net/http and gin. It is apart from internal/testkit/conformance, as no package under internal imports the
// root package.
package fronts
