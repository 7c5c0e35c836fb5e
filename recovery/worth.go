package recovery

import (
	"time"

	"quartzpoint/estimate"
)

// Worth tells whether a view is to be written in the place of the one written so long before. A server that has seen
// too little itself keeps what the one before it left: else one that starts, and is killed, and starts again would lose
// all by its second start. One that has seen nothing new since is not written again either: what was written ages by
// itself.
func Worth(snapshot, before estimate.Snapshot, since time.Duration) bool {
	if snapshot.NeedsPeers() {
		return false
	}
	if len(before.Routes) != len(snapshot.Routes) {
		return true
	}
	for i, route := range snapshot.Routes {
		if route.Core.Known() && route.Core.Age < before.Routes[i].Core.Age+since {
			return true
		}
	}
	return false
}
