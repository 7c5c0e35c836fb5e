// Package recovery decides what of a server's state on disk is used after a start: which files, how far, how old what
// they tell is, and what a number is that was begun and never ended. It does no I/O and reads no clock; internal/store
// reads and writes the files.
package recovery

import "time"

// MaxAge is the age of what can't be dated: nothing learned is worth anything at it.
const MaxAge = 365 * 24 * time.Hour

// Timestamp is one reading of a machine's clocks. Two clocks, because neither is enough: the wall clock goes on while the
// machine is off and can be set; the other can't be set and begins anew with each boot.
type Timestamp struct {
	Wall      time.Duration `cbor:"1,keyasint,omitempty" json:"wall"`    // since 1970
	SinceBoot time.Duration `cbor:"2,keyasint,omitempty" json:"up"`      // since the boot, sleep included
	BootID    string        `cbor:"3,keyasint,omitempty" json:"boot"`    // name of the boot; empty where it is not known
	MachineID uint64        `cbor:"4,keyasint,omitempty" json:"machine"` // mark of the machine; 0 where it is not known
}

// Age tells how long ago a moment was: least is what has passed for sure, most what may have. Knowledge goes by most,
// so that a clock that was set makes it worth less and never more; windows of numbers go by least, so that one makes a
// number known for longer and never shorter.
//
//   - Within one boot the clock of the boot tells, and both agree but for a wall clock that was set forward, which
//     most believes.
//   - From an earlier boot of the same machine, the time since this boot has passed for sure.
//   - From another machine nothing is sure.
//   - A wall clock that stands before the moment, for a file from the future or a clock set back, makes most Oldest.
func Age(then, now Timestamp) (least, most time.Duration) {
	most = now.Wall - then.Wall
	known := then.MachineID != 0 && then.MachineID == now.MachineID && then.BootID != ""
	switch {
	case known && then.BootID == now.BootID && now.SinceBoot >= then.SinceBoot:
		least = now.SinceBoot - then.SinceBoot
	case known && then.BootID != now.BootID:
		least = now.SinceBoot
	case known: // one boot, and its clock ran backwards: a copied file, or a lie
		most = MaxAge
	}
	if most < 0 || then.Wall == 0 {
		return least, max(MaxAge, least)
	}
	return least, max(least, most)
}
