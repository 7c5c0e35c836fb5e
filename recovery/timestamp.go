package recovery

import "time"

// MaxUndatedAge is the age assumed if the true age is unknown. Estimates of that age are never used.
const MaxUndatedAge = 365 * 24 * time.Hour

// Timestamp is one reading of a machine's clocks. It includes two clocks because neither is enough: the wall clock
// keeps running while the machine is off, but can be set; the boot clock cannot be set, but restarts with each boot.
type Timestamp struct {
	Wall      time.Duration `cbor:"1,keyasint,omitempty" json:"wall"`    // since the Unix epoch
	SinceBoot time.Duration `cbor:"2,keyasint,omitempty" json:"up"`      // boot clock, including time asleep
	BootID    string        `cbor:"3,keyasint,omitempty" json:"boot"`    // empty if unknown
	MachineID uint64        `cbor:"4,keyasint,omitempty" json:"machine"` // digest of the machine's id; 0 if unknown
}

// Age returns bounds on the time from then to now: at least minAge has passed, and at most maxAge is assumed to have.
// Estimates age by maxAge, so that setting a clock gives them less weight and never more. Dedup windows run by minAge,
// so that setting a clock keeps a key for longer and never for less.
//
//   - Within one boot the boot clock decides. maxAge also allows for a wall clock that was set forward.
//   - From an earlier boot of the same machine, at least the time since the current boot has passed.
//   - From another machine, nothing is certain.
//   - If the wall clock reads earlier than then (a timestamp from the future, or a clock set back), or then has no wall
//     clock reading, maxAge is at least MaxUndatedAge.
func Age(then, now Timestamp) (minAge, maxAge time.Duration) {
	maxAge = now.Wall - then.Wall
	sameMachine := then.MachineID != 0 && then.MachineID == now.MachineID && then.BootID != ""
	switch {
	case sameMachine && then.BootID == now.BootID && now.SinceBoot >= then.SinceBoot:
		minAge = now.SinceBoot - then.SinceBoot
	case sameMachine && then.BootID != now.BootID:
		minAge = now.SinceBoot
	case sameMachine: // the boot clock ran backwards within one boot: the file was copied or forged
		maxAge = MaxUndatedAge
	}
	if maxAge < 0 || then.Wall == 0 {
		return minAge, max(MaxUndatedAge, minAge)
	}
	return minAge, max(minAge, maxAge)
}
