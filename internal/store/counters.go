package store

// The names of the counters, as they are logged.
const (
	countDirFailed       = "state directory failed"
	countDiskStalled     = "state disk stalled, keyed requests run without it"
	countQueueFull       = "idempotency key not stored: write queue full"
	countTableFull       = "idempotency key not stored: table full"
	countKeyTooLong      = "idempotency key not stored: too long"
	countResultTableFull = "result not stored: table full"
	countResultTooLong   = "result not stored: too large"
)
