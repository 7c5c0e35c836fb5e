package recovery

import (
	"time"

	"quartzpoint/estimate"
)

// ShouldPersist tells whether a view is to be written in the place of the one written so long before. A server that has seen
// too little itself keeps what the one before it left: else one that starts, and is killed, and starts again would lose
// all by its second start. One that has seen nothing new since is not written again either: what was written ages by
// itself.
func ShouldPersist(snapshot, persisted estimate.Snapshot, sincePersisted time.Duration) bool {
	if snapshot.Cold() {
		return false
	}
	if len(persisted.Routes) != len(snapshot.Routes) {
		return true
	}
	for i, t := range snapshot.Routes {
		if t.Core.Known() && t.Core.Age < persisted.Routes[i].Core.Age+sincePersisted {
			return true
		}
	}
	return false
}
