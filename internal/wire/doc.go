// Package wire decodes the events that the simulator sends to the adapter, and encodes the actions with which the adapter
// replies.
//
// All numbers are little-endian, and times are microseconds. A batch is a header of 16 bytes (clock as 8, size of what
// follows the size field as 4, count of records as 4), records of 64 bytes and a tail of texts. A reply is a header of
// 8 bytes (size and count, 4 bytes each), records of 16 bytes and a tail. Each record starts with its code as 1 byte
// and the id of its server as 2. The layout of the rest is defined in event.go and action.go.
package wire
