package recovery

import (
	"time"

	"quartzpoint/estimate"
)

// chooseEstimates uses the newest snapshot that is complete, was made under these settings, is not too old, and is from
// this machine or from an unknown one.
func (p *Plan) chooseEstimates(files []File, environment Environment) {
	sortNewestFirst(files)
	for _, f := range files {
		_, age := Age(f.Header.CreatedAt, environment.Now)
		switch {
		case !f.Complete || f.Estimates == nil:
			p.reject(f.Name, "not whole")
			continue
		case f.Header.CreatedAt.MachineID != 0 && f.Header.CreatedAt.MachineID != environment.Now.MachineID:
			p.addFinding(f.Name, "of another machine")
			continue
		}
		if len(environment.Schema.Routes) == 0 {
			continue
		}
		// Stored estimates pass the same validation as those of peers before they are used.
		aligned, err := environment.Schema.Align(*f.Estimates)
		if err == nil {
			aligned, err = environment.Schema.Validate(aligned)
		}
		if err != nil {
			p.addFinding(f.Name, err.Error())
			continue
		}
		if aligned = aligned.Aged(age); !aligned.HasFresh() {
			p.addFinding(f.Name, "old")
			continue
		}
		p.Estimates, p.EstimatesFrom = aligned, f.Name
		return
	}
}

// ShouldPersist reports whether a snapshot is to replace the persisted one, which was written sincePersisted ago.
//
// A cold server must not replace the snapshot of its previous incarnation: a server that crashes soon after each start
// would otherwise lose all estimates at its second start. A snapshot without newer samples is not written either,
// because the persisted one ages by itself.
func ShouldPersist(snapshot, persisted estimate.Snapshot, sincePersisted time.Duration) bool {
	if snapshot.NeedsPeers() {
		return false
	}
	if len(persisted.Routes) != len(snapshot.Routes) {
		return true
	}
	for i, route := range snapshot.Routes {
		if route.Core.Known() && route.Core.Age < persisted.Routes[i].Core.Age+sincePersisted {
			return true
		}
	}
	return false
}
