package replay_test

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	abortKind        = 'G'
	reasonDraining   = 4                     // of admission.RejectReason
	stopAnswerMargin = 50 * time.Millisecond // requests are answered this long before the stop
	maxRoundingKB    = 1e-9                  // between two sums of the same numbers in different orders
)

// drainDuplicates are the duplicates that arrive in a drain. The recorded code left them waiting for their original until
// their own deadline, past the stop, which was a fault: they were never answered. They must be aborted before the stop. All
// other decisions must be as recorded, and so must the aborts of duplicates whose own deadline is earlier.
type drainDuplicates struct {
	answerBy time.Duration // latest time of an answer; 0 before the drain
	waiting  map[int]bool  // by number
	aborted  map[int]bool  // by number; those that were aborted because of the stop, and still wait in the recording
}

func newDrainDuplicates() *drainDuplicates {
	return &drainDuplicates{waiting: map[int]bool{}, aborted: map[int]bool{}}
}

// begin records the input of a round. isDuplicate tells whether the request with a number is a duplicate.
func (d *drainDuplicates) begin(input round, isDuplicate func(number int) bool) {
	if input.stopAt > 0 && d.answerBy == 0 {
		d.answerBy = input.stopAt - stopAnswerMargin
	}
	for _, number := range input.arrived {
		if d.answerBy > 0 && isDuplicate(number) {
			d.waiting[number] = true
		}
	}
}

func (d *drainDuplicates) remove(number int) {
	delete(d.waiting, number)
	delete(d.aborted, number)
}

// expected returns what the code under test has to return where an occupancy was recorded: the same without the memory of
// the duplicates that still wait in the recording only. The last bits of that sum are taken from got, as they depend on
// its order.
func (d *drainDuplicates) expected(recorded, got occupancy, queuedKB func(number int) float64) occupancy {
	if len(d.aborted) == 0 {
		return recorded
	}
	used := recorded.usedKB.float()
	for number := range d.aborted {
		used -= queuedKB(number)
	}
	recorded.usedKB = bits(used)
	if math.Abs(used-got.usedKB.float()) <= maxRoundingKB {
		recorded.usedKB = got.usedKB
	}
	return recorded
}

// end removes the aborts that differ from the decisions of a round, and returns the decisions to be compared. The error
// describes a duplicate that was aborted too early or is still waiting though the time for answers is over.
func (d *drainDuplicates) end(input round, recorded, got []decision) (recordedRest, gotRest []decision, err error) {
	gotRest = slices.DeleteFunc(slices.Clone(got), func(made decision) bool {
		atStop := made.kind == abortKind && made.reason == reasonDraining && d.waiting[made.request]
		if atStop {
			d.aborted[made.request] = true
			if input.now < d.answerBy {
				err = fmt.Errorf("duplicate %d was aborted %v before the time for answers was over", made.request, d.answerBy-input.now)
			}
		}
		return atStop
	})
	recordedRest = slices.DeleteFunc(slices.Clone(recorded), func(made decision) bool {
		abort := made.kind == abortKind && d.aborted[made.request]
		if abort {
			delete(d.aborted, made.request)
		}
		return abort
	})
	for _, made := range got {
		if made.kind == abortKind {
			delete(d.waiting, made.request)
		}
	}
	for _, end := range input.runsEnded {
		d.remove(end.request)
	}
	for _, number := range input.canceled {
		d.remove(number)
	}
	if d.answerBy > 0 && input.now >= d.answerBy && len(d.waiting) > 0 {
		err = fmt.Errorf("at time %d duplicates still wait, though the time for answers is over: %v", input.now, d.waiting)
	}
	return recordedRest, gotRest, err
}
