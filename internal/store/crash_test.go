package store

import (
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"quartzpoint/estimate"
	"quartzpoint/internal/datadir"
	"quartzpoint/internal/testkit/faultdisk"
	"quartzpoint/recovery"
)

// TestMain draws the same cases every time, and plays the child that tests kill.
func TestMain(m *testing.M) {
	if playChild() {
		return
	}
	flag.Parse()
	m.Run()
}

const window = time.Hour

var views = estimate.Schema{
	SettingsDigest: 7, Origin: 99, Routes: []string{"browse", "pay"}, Deadlines: []time.Duration{2 * time.Second, 4 * time.Second},
}

// viewOf is a view that tells its number.
func viewOf(n int) estimate.Snapshot {
	e := estimate.Estimate{Mean: 0.1 + float64(n)/1e4, Spread: 0.05, Samples: 20}
	return estimate.Snapshot{Origin: 5, SettingsDigest: 7, Routes: []estimate.RouteEstimates{
		{Name: "browse", Core: e, Run: e}, {Name: "pay", Core: e, Run: e},
	}}
}

// bench is a book on a disk, with a clock that the test sets.
type bench struct {
	book
	now recovery.Moment
	ids uint64
}

// newBench has ids from ids on, and stands a millisecond later for each of them.
func newBench(disk datadir.Folder, ids uint64) *bench {
	later := time.Duration(ids) * time.Millisecond
	b := &bench{now: recovery.Moment{Wall: 1e18 + later, Up: 1e12 + later, Boot: "boot", Machine: 3}, ids: ids}
	b.book = book{
		folder: disk, clock: func() recovery.Moment { return b.now }, site: "s", most: 1 << 20, numbers: true,
		id: func() uint64 { b.ids++; return b.ids },
	}
	return b
}

func (b *bench) here() recovery.Here { return recovery.Here{Now: b.now, Site: "s", Frame: views} }

// start reads what is there, and begins behind it.
func (b *bench) start() (recovery.Plan, error) {
	plan, err := b.read(b.here())
	if err != nil {
		return plan, err
	}
	return plan, b.begin(plan, plan.Table)
}

// told is what was given for one number, in order, and how far it was said to be kept.
type told struct {
	states []recovery.Number
	kept   int // states
}

// reference is what must hold, in memory.
type reference struct {
	numbers map[string]*told
	given   []string // keys, in order
	view    int      // the newest that was said to be kept
	viewed  int      // the newest that was given
}

func newReference() *reference { return &reference{numbers: map[string]*told{}} }

func (r *reference) give(n recovery.Number) {
	if r.numbers[n.Key] == nil {
		r.numbers[n.Key] = &told{}
		r.given = append(r.given, n.Key)
	}
	r.numbers[n.Key].states = append(r.numbers[n.Key].states, n)
}

func (r *reference) keepAll() {
	for _, n := range r.numbers {
		n.kept = len(n.states)
	}
}

// check compares what was recovered with what must hold: what was said to be kept is there as it was, what was not may
// be there, as it was or as begun, and nothing else is.
func (r *reference) check(p recovery.Plan) error {
	for key, of := range r.numbers {
		n, known := p.Table.Get(key)
		if !known {
			if of.kept > 0 {
				return fmt.Errorf("%q was kept and is lost", key)
			}
			continue
		}
		fits := false
		for i, s := range of.states {
			same := s.Honoured == n.Honoured && string(s.Result) == string(n.Result) && s.Shape == n.Shape
			fits = fits || same && i+1 >= of.kept
		}
		if begun := !n.Honoured && n.Result == nil; !fits && !(begun && of.kept < len(of.states)) {
			return fmt.Errorf("%q stands as honoured=%v result %q, after %d states, %d kept", key, n.Honoured, n.Result, len(of.states), of.kept)
		}
	}
	for _, n := range p.Table.All() {
		if r.numbers[n.Key] == nil {
			return fmt.Errorf("%q was never given", n.Key)
		}
	}
	if r.view > 0 && !p.View.HasFresh() {
		return errors.New("a view was kept and is lost")
	}
	if p.View.HasFresh() {
		n := int((p.View.Routes[0].Core.Mean-0.1)*1e4 + 0.5)
		if n < r.view || n > r.viewed {
			return fmt.Errorf("view %d, and %d was kept, %d given", n, r.view, r.viewed)
		}
	}
	return nil
}

// play runs a script of so many steps until it ends or the disk fails.
func play(b *bench, r *reference, seed int64, steps int) error {
	rng := rand.New(rand.NewSource(seed))
	if _, err := b.start(); err != nil {
		return err
	}
	var open []recovery.Number
	for i := range steps {
		b.now.Up += time.Millisecond
		b.now.Wall += time.Millisecond
		switch what := rng.Intn(10); {
		case what < 4:
			n := recovery.Number{Key: fmt.Sprintf("pay\x00%d\xff-%d", seed, i), Shape: uint64(i), Until: b.now.Up + window}
			r.give(n)
			open = append(open, n)
			b.put(n, false, b.now.Up)
		case what < 7 && len(open) > 0:
			at := rng.Intn(len(open))
			n := open[at]
			open = slices.Delete(open, at, at+1)
			if n.Honoured = rng.Intn(3) > 0; n.Honoured {
				n.Result = make([]byte, rng.Intn(700))
				rng.Read(n.Result)
			}
			r.give(n)
			b.put(n, true, b.now.Up)
		case what < 8:
			if err := b.commit(); err != nil {
				return err
			}
			r.keepAll()
		case what < 9:
			r.viewed++
			if err := b.newView(viewOf(r.viewed))(); err != nil {
				return err
			}
			r.view = r.viewed
		default:
			if err := b.commit(); err != nil {
				return err
			}
			r.keepAll()
			job := b.newTable()
			if rng.Intn(2) == 0 {
				job = b.rotate
			}
			if err := job(); err != nil {
				return err
			}
		}
	}
	return nil
}

// Every operation of recorded runs is a moment at which the power goes, and so is every one of the starts after it.
func TestPowerLossAtEveryOperation(t *testing.T) {
	crashes := 0
	for seed := int64(1); seed <= 4; seed++ {
		whole := faultdisk.New()
		require.NoError(t, play(newBench(whole, 0), newReference(), seed, 60))
		for at := 1; at <= whole.Ops(); at++ {
			for draw := int64(0); draw < 6; draw++ {
				disk, ref := faultdisk.New(), newReference()
				disk.PowerAt = at
				require.ErrorIs(t, play(newBench(disk, 0), ref, seed, 60), faultdisk.ErrPower)
				loss := faultdisk.Drawn{Rand: rand.New(rand.NewSource(draw*1e6 + int64(at)))}
				after := disk.Crash(loss)
				crashes++
				for again := at % 7; again > 0; again -= 3 { // the power goes in the start, too
					after.PowerAt = again
					if _, err := newBench(after, 1000).start(); err == nil {
						break
					}
					after = after.Crash(loss)
				}
				after.PowerAt = 0
				plan, err := newBench(after, 2000).start()
				require.NoError(t, err, "seed %d at %d draw %d", seed, at, draw)
				require.NoError(t, ref.check(plan), "seed %d at %d draw %d", seed, at, draw)
				plan, err = newBench(after, 3000).start() // and what is written then says the same
				require.NoError(t, err)
				require.NoError(t, ref.check(plan), "seed %d at %d draw %d, second start", seed, at, draw)
			}
		}
	}
	t.Logf("%d crashes", crashes)
}

// The log is cut at every byte: what was synced before stays, and nothing comes of the rest.
func TestTornAtEveryByte(t *testing.T) {
	disk, ref := faultdisk.New(), newReference()
	b := newBench(disk, 0)
	_, err := b.start()
	require.NoError(t, err)
	for i := range 5 {
		n := recovery.Number{Key: fmt.Sprint("pay\x00", i), Until: b.now.Up + window, Honoured: true, Result: []byte("seat")}
		ref.give(n)
		b.put(n, true, b.now.Up)
	}
	require.NoError(t, b.commit())
	name := nameOf(logName, 1)
	raw := disk.Get(name)
	for cut := range raw {
		disk.Put(name, raw[:cut])
		p, err := newBench(disk, 9).read(b.here())
		require.NoError(t, err)
		require.NoError(t, ref.check(p), "cut at %d", cut)
		assert.LessOrEqual(t, p.Table.Len(), cut*5/len(raw)+1)
	}
}

// Any one bit of any file may flip. What is read is then what was written, or nothing of it, or a number whose end is
// not known; a snapshot that rots has one before it.
func TestEveryBitFlipped(t *testing.T) {
	disk, ref := faultdisk.New(), newReference()
	b := newBench(disk, 0)
	_, err := b.start()
	require.NoError(t, err)
	give := func(i int) {
		n := recovery.Number{Key: fmt.Sprint("pay\x00", i), Until: b.now.Up + window}
		ref.give(n)
		b.put(n, false, b.now.Up)
		n.Honoured, n.Result = true, []byte("seat")
		ref.give(n)
		b.put(n, true, b.now.Up)
		require.NoError(t, b.commit())
	}
	for round := range 3 {
		for i := range 2 {
			give(10*round + i)
		}
		ref.viewed++
		require.NoError(t, b.newView(viewOf(ref.viewed))())
		require.NoError(t, b.newTable()())
		require.NoError(t, b.rotate())
	}
	give(99)
	flips := 0
	for _, name := range disk.Names() {
		raw := disk.Get(name)
		for bit := range 8 * len(raw) {
			flipped := slices.Clone(raw)
			flipped[bit/8] ^= 1 << (bit % 8)
			disk.Put(name, flipped)
			p, err := newBench(disk, 9).read(b.here())
			require.NoError(t, err)
			require.NoError(t, ref.check(p), "%s bit %d", name, bit)
			for i := range 2 { // begun before the last table but one: in two snapshots and in the log
				_, known := p.Table.Get(fmt.Sprint("pay\x00", i))
				require.True(t, known, "%s bit %d", name, bit)
			}
			require.True(t, p.View.HasFresh())
			flips++
		}
		disk.Put(name, raw)
	}
	t.Logf("%d flips", flips)
}

// The operations of the model, and how the power may go.
var operations = []string{"begin", "end", "commit", "table", "rotate", "lose all", "lose none", "lose half"}

// All rows of operations up to a depth are played against the reference in memory.
func TestModelExhaustively(t *testing.T) {
	depth := 5
	if testing.Short() {
		depth = 4
	}
	rows := 0
	row := make([]int, depth)
	for {
		rows++
		require.NoError(t, playRow(row), "%v", names(row))
		at := depth - 1
		for ; at >= 0; at-- {
			if row[at]++; row[at] < len(operations) {
				break
			}
			row[at] = 0
		}
		if at < 0 {
			break
		}
	}
	t.Logf("%d rows of %d operations", rows, depth)
}

func names(row []int) (words []string) {
	for _, o := range row {
		words = append(words, operations[o])
	}
	return words
}

// playRow plays one row, and loses all that is not kept at its end.
func playRow(row []int) error {
	disk, ref := faultdisk.New(), newReference()
	b := newBench(disk, 0)
	if _, err := b.start(); err != nil {
		return err
	}
	crash := func(loss faultdisk.Loss, ids uint64) error {
		disk = disk.Crash(loss)
		b = newBench(disk, ids)
		plan, err := b.start()
		if err != nil {
			return err
		}
		if err := ref.check(plan); err != nil {
			return err
		}
		for _, of := range ref.numbers { // what came back is what is known from here on, and is kept
			of.kept, of.states = 0, slices.Clone(of.states)
		}
		for _, n := range plan.Table.All() {
			of := ref.numbers[n.Key]
			of.states, of.kept = []recovery.Number{n}, 1
		}
		for key, of := range ref.numbers {
			if of.kept == 0 {
				delete(ref.numbers, key)
			}
		}
		return nil
	}
	begun := 0
	for i, o := range row {
		var err error
		switch operations[o] {
		case "begin":
			n := recovery.Number{Key: fmt.Sprint("pay\x00", begun), Until: b.now.Up + window}
			begun++
			ref.give(n)
			b.put(n, false, b.now.Up)
		case "end":
			key := fmt.Sprint("pay\x00", begun-1)
			if ref.numbers[key] == nil {
				continue
			}
			n := recovery.Number{Key: key, Until: b.now.Up + window, Honoured: true, Result: []byte{byte(i)}}
			ref.give(n)
			b.put(n, true, b.now.Up)
		case "commit":
			if err = b.commit(); err == nil {
				ref.keepAll()
			}
		case "table":
			if err = b.commit(); err == nil {
				ref.keepAll()
				err = b.newTable()()
			}
		case "rotate":
			if err = b.commit(); err == nil {
				ref.keepAll()
				err = b.rotate()
			}
		case "lose all":
			err = crash(faultdisk.All{}, uint64(100*i+100))
		case "lose none":
			err = crash(faultdisk.None{}, uint64(100*i+100))
		case "lose half":
			err = crash(faultdisk.Half{}, uint64(100*i+100))
		}
		if err != nil {
			return err
		}
	}
	return crash(faultdisk.All{}, 5000)
}

// Whatever bytes stand in a file, reading them ends, and gives no more records than they have room for.
func FuzzRead(f *testing.F) {
	disk := faultdisk.New()
	b := newBench(disk, 0)
	if _, err := b.start(); err != nil {
		f.Fatal(err)
	}
	b.put(recovery.Number{Key: "pay", Until: b.now.Up + window, Honoured: true, Result: []byte("r")}, true, b.now.Up)
	if err := errors.Join(b.commit(), b.newView(viewOf(1))(), b.newTable()()); err != nil {
		f.Fatal(err)
	}
	for _, name := range disk.Names() {
		f.Add(disk.Get(name))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		found := read("x", raw)
		if n := len(found.Records) + len(found.Beyond); n*frameHead > len(raw) {
			t.Fatalf("%d records in %d bytes", n, len(raw))
		}
		recovery.Decide([]recovery.Found{found}, b.here())
	})
}
