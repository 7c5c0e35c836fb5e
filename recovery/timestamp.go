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
//
// Dedup windows run by minAge. It depends on the boot clock alone: setting the wall clock does not change it, and a key
// may be kept for longer than its window but not for less, unless the boot ID is unknown now (see below). Estimates age
// by maxAge, which is the greater of minAge and the difference of the wall clocks, except where stated below. A wall
// clock that was set forward may increase maxAge, which gives the estimates less weight; one that was set back may
// decrease it, but not below minAge.
//
//   - Within one boot, minAge is the time that passed by the boot clock, so maxAge is never less than the true age.
//   - If the boot clock ran backwards within one boot, minAge is 0 and maxAge is MaxUndatedAge.
//   - From an earlier boot of the same machine, minAge is the time since the current boot. If the wall clock was set
//     back, maxAge may be less than the true age. An unknown boot ID of now counts as that of a later boot; if it is in
//     fact the same boot, minAge is more than the true age.
//   - From another machine, or if the machine or the boot ID of then is unknown, minAge is 0. If the wall clocks of the
//     machines differ, or one was set back, maxAge may be less than the true age.
//   - In each of these cases, if the wall clock reads earlier than then (a timestamp from the future, or a clock set
//     back), or then has no wall clock reading, maxAge is at least MaxUndatedAge.
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
