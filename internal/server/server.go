// Package server is one server's tasks, rounds and timers. It gathers what fronts and the worker pool tell
// into rounds of the decisions, and carries out what these write. It knows no protocol.
package server

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"quartzpoint/choice"
	"quartzpoint/internal/check"
	"quartzpoint/internal/pool"
	"quartzpoint/internal/terms"
)

const (
	gaugeWait   = 5 * time.Millisecond   // that an alarm's round waits for the pool's gauges
	verifyWait  = time.Second            // until a deep check without an answer is a bad one
	mostChecks  = 8                      // deep checks in the pool's hands
	lastOrders  = 400 * time.Millisecond // before the stop, when no further connection is taken
	lastMoment  = 40 * time.Millisecond  // before the stop, by which the process ends
	noticeDelay = 15 * time.Millisecond  // by which the notice may have been read late
	taskKB      = 12                     // what one task may take of the program's own memory
	taskShare   = 4                      // part of that memory, as a divisor, that tasks may take
)

// Verdict is what an answer says became of a task.
type Verdict int

// The three verdicts.
const (
	Honoured Verdict = iota
	Dismissed
	GivenUp
)

// Answer is the one final answer to a task.
type Answer struct {
	Verdict     Verdict
	Level       string        // as last stated, empty where it never was
	ComeBack    time.Duration // on a dismissal, how long the caller should stay away
	NowhereElse bool          // on a dismissal, that no other server be tried
	Result      []byte
}

// Caller is where tasks and health checks come from. All calls come from the owner of decisions.
type Caller interface {
	Answer(stream uint32, a Answer)
	Checked(stream uint32, good bool, level string)
}

// Front is a way in for tasks.
type Front interface {
	CloseIdle(span time.Duration)
	Flush() (written bool) // writes all that was answered; false while peers have yet to read some
	Retire()               // takes no more connections and asks for no more tasks on those that are open
	Open() int             // connections
}

// Task is a task and what the program keeps for it until the last that can come for it has come.
type Task struct {
	choice.Task
	id       string
	handler  string
	body     []byte
	caller   Caller
	stream   uint32
	answered bool
	active   bool   // started, and its end not told yet
	sent     bool   // the pool was told to run it
	mark     uint64 // the nonce of the first poll behind that
	unsure   bool   // whether the pool was, is not known
}

// Asked is a task as a front has read it.
type Asked struct {
	ID     string // the same at no other task
	Type   string
	HeldKB float64
	Rank   float64
	Router uint32
	Came   int64 // Unix milliseconds
	Waits  time.Duration
	Body   []byte // kept
	Caller Caller
	Stream uint32
}

// Limits are those of the program itself.
type Limits struct{ MemoryMB, Sockets int }

// deepCheck is one in the pool's hands.
type deepCheck struct {
	caller Caller
	stream uint32
	nonce  uint64
	until  time.Duration
}

// Server turns events into rounds. Its methods are for its one owner, the goroutine that is in Run, but for
// Post and Nudge.
type Server struct {
	module *choice.Choice
	terms  *terms.Terms
	types  map[string]*choice.TrafficType
	link   *pool.Link
	fronts []Front
	counts *check.Counts
	log    *slog.Logger
	began  time.Time
	most   int // tasks

	mu     sync.Mutex
	posted []func()
	woken  chan struct{}

	tasks   map[string]*Task
	owner   map[*choice.Task]*Task
	round   choice.Round
	touched bool
	gauges  choice.Gauges
	fresh   bool // gauges came for the alarm in hand
	notices []pool.Notice

	alarms    []time.Duration
	asked     uint64        // nonce of the alarm's poll, 0 without one
	askedLate time.Duration // when its round comes all the same
	polled    uint64        // nonce of the last poll answered

	good, fromStore bool
	level           string
	checks          []deepCheck
	checkNonce      uint64

	noticed time.Duration // the notice to leave, 0 before it
	retire  time.Duration
	stop    time.Duration
	retired bool
}

// New makes the server for its terms. Terms that ask for what it can't do are an error: a task must not be
// found unservable only once it has been read.
func New(told *terms.Terms, seed int64, limits Limits, counts *check.Counts, log *slog.Logger) (*Server, error) {
	s := &Server{
		terms: told, counts: counts, log: log, began: time.Now(),
		types: map[string]*choice.TrafficType{},
		most:  max(64, limits.MemoryMB*1024/taskKB/taskShare),
		woken: make(chan struct{}, 1),
		tasks: map[string]*Task{}, owner: map[*choice.Task]*Task{},
		good: true,
	}
	for i := 0; ; i++ {
		name, stated := told.Values[fmt.Sprintf("type.%d.name", i)].(string)
		if !stated {
			break
		}
		s.types[name] = nil
		if told.Values[fmt.Sprintf("type.%d.repeats", i)] == "numbered" {
			return nil, fmt.Errorf("traffic type %s is numbered, which this program can't serve yet", name)
		}
		if told.Values[fmt.Sprintf("type.%d.calls", i)] == true {
			return nil, fmt.Errorf("traffic type %s calls a dependency, which this program can't serve yet", name)
		}
	}
	if len(s.types) == 0 {
		return nil, fmt.Errorf("the settings name no traffic type")
	}
	if customers, _ := told.Values["customers"].(float64); customers > 0 {
		return nil, fmt.Errorf("the settings name customers, whom this program can't tell apart yet")
	}
	s.module = choice.New(told.Values, seed)
	if len(s.module.Types) != len(s.types) {
		return nil, fmt.Errorf("%d traffic types stated, %d of them named", len(s.module.Types), len(s.types))
	}
	for i, t := range s.module.Types {
		s.types[told.Values[fmt.Sprintf("type.%d.name", i)].(string)] = t
	}
	return s, nil
}

// Serve gives the server its link and its fronts, before Run.
func (s *Server) Serve(link *pool.Link, fronts ...Front) { s.link, s.fronts = link, fronts }

// Now is the time since the Unix epoch by a clock that never steps back.
func (s *Server) Now() time.Duration {
	return time.Duration(s.began.UnixNano()) + time.Since(s.began)
}

// at maps a moment of the system's Unix clock, which may step, to the clock of rounds. What is stated as
// later than now is taken as now.
func (s *Server) at(unixMS int64, now time.Duration) time.Duration {
	ago := time.Since(time.UnixMilli(unixMS).Round(0))
	return now - max(ago, 0)
}

// Nudge has the owner look for what came in.
func (s *Server) Nudge() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// Post has the owner call f in its turn.
func (s *Server) Post(f func()) {
	s.mu.Lock()
	s.posted = append(s.posted, f)
	s.mu.Unlock()
	s.Nudge()
}

// Run goes from round to round until the server has left.
func (s *Server) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []func()
	s.decide(s.Now()) // the first round is empty and lets the module state its health and set its alarm
	for {
		for again := true; again; {
			s.mu.Lock()
			batch, s.posted = s.posted, batch[:0]
			s.mu.Unlock()
			for _, f := range batch {
				f()
			}
			s.notices = s.link.Take(s.notices[:0])
			for i := range s.notices {
				s.told(&s.notices[i])
			}
			again = len(batch) > 0
			clear(batch)
		}
		now := s.Now()
		s.alarm(now)
		s.dueChecks(now)
		if s.touched {
			s.decide(now)
		}
		written := true
		for _, f := range s.fronts {
			written = f.Flush() && written // answers leave before commands: what is stopped has been answered
		}
		s.link.Flush()
		if s.leaving(now, written) {
			return
		}
		timer.Reset(max(s.next()-s.Now(), 0))
		select {
		case <-s.woken:
		case <-timer.C:
		}
	}
}

// next is the moment of the earliest timer.
func (s *Server) next() time.Duration {
	first := s.Now() + time.Second
	for _, at := range s.alarms {
		first = min(first, at)
	}
	if s.asked > 0 {
		first = min(first, s.askedLate)
	}
	for _, c := range s.checks {
		first = min(first, c.until)
	}
	if s.noticed > 0 {
		first = min(first, s.Now()+gaugeWait)
	}
	return first
}

// alarm brings the gauges that a due alarm asks for. The round of the alarm waits for the pool a little and
// then comes with the readings that were last told: answers that are due must not hang on the pool.
func (s *Server) alarm(now time.Duration) {
	left := s.alarms[:0]
	rang := false
	for _, at := range s.alarms {
		if at <= now {
			rang = true
		} else {
			left = append(left, at)
		}
	}
	s.alarms = left
	if rang && s.asked == 0 {
		if nonce, sent := s.link.Poll(); sent {
			s.asked, s.askedLate = nonce, now+gaugeWait
		} else {
			s.fresh = true
		}
	}
	if s.asked > 0 && now >= s.askedLate {
		s.counts.Saw("gauges late, round on the last ones")
		s.fresh = true
	}
	if s.fresh {
		s.asked, s.fresh = 0, false
		s.round.Gauges = &s.gauges
		s.touched = true
	}
}

// decide hands the round to the module.
func (s *Server) decide(now time.Duration) {
	s.round.Now = now
	s.module.Decide(&s.round, s)
	for _, e := range s.round.Ended {
		s.settle(s.owner[e.Task])
	}
	for _, t := range s.round.Gone {
		s.settle(s.owner[t])
	}
	r := &s.round
	clear(r.Ended)
	clear(r.Gone)
	clear(r.Arrived)
	*r = choice.Round{Ended: r.Ended[:0], Gone: r.Gone[:0], Arrived: r.Arrived[:0]}
	s.touched = false
}

// settle forgets a task for which nothing more can come.
func (s *Server) settle(t *Task) {
	if t != nil && t.answered && !t.active {
		delete(s.tasks, t.id)
		delete(s.owner, &t.Task)
	}
}

// Take files a task that a front has read. A task that can't be understood is dismissed at once, and nothing
// is returned for it.
func (s *Server) Take(a Asked) *Task {
	kind := s.types[a.Type]
	due, _ := s.terms.Values["tells-due"].(bool)
	switch {
	case kind == nil:
		s.counts.Saw("task of an unknown type")
	case s.tasks[a.ID] != nil:
		s.counts.Saw("task whose call is known already")
	case due && a.Waits <= 0:
		s.counts.Saw("task without a due time")
	case len(s.tasks) >= s.most:
		s.counts.Saw("task beyond the program's own memory")
	default:
		now := s.Now()
		t := &Task{
			Task: choice.Task{
				Type: kind, HeldKB: a.HeldKB, Arrived: s.at(a.Came, now), Rank: a.Rank, Caller: a.Router,
			},
			id: a.ID, handler: a.Type, body: a.Body, caller: a.Caller, stream: a.Stream,
		}
		if a.Waits > 0 {
			t.Due = t.Arrived + a.Waits
		}
		s.tasks[t.id], s.owner[&t.Task] = t, t
		s.round.Arrived = append(s.round.Arrived, &t.Task)
		s.touched = true
		return t
	}
	s.Refuse(a.Caller, a.Stream)
	return nil
}

// Refuse dismisses at once what can't be understood. The module never hears of it, as there is nothing to
// decide on.
func (s *Server) Refuse(c Caller, stream uint32) {
	c.Answer(stream, Answer{Verdict: Dismissed, Level: s.level})
}

// Gone files that nobody waits for a task any longer.
func (s *Server) Gone(t *Task) {
	if t.answered {
		return
	}
	t.answered = true
	s.round.Gone = append(s.round.Gone, &t.Task)
	s.touched = true
}

// Check answers a health check as the module last decided, or from the worker pool where it wants that.
func (s *Server) Check(c Caller, stream uint32, deep bool) {
	if !deep || s.fromStore || !s.good {
		c.Checked(stream, s.good, s.level)
		return
	}
	s.checkNonce++
	if len(s.checks) >= mostChecks || !s.link.Verify(s.checkNonce) {
		c.Checked(stream, false, s.level)
		return
	}
	s.checks = append(s.checks, deepCheck{c, stream, s.checkNonce, s.Now() + verifyWait})
}

// dueChecks answers deep checks that the pool has left without an answer for too long.
func (s *Server) dueChecks(now time.Duration) {
	left := s.checks[:0]
	for _, c := range s.checks {
		if now < c.until {
			left = append(left, c)
			continue
		}
		c.caller.Checked(c.stream, false, s.level)
	}
	s.checks = left
}

// told takes one notice of the worker pool.
func (s *Server) told(n *pool.Notice) {
	switch n.Kind {
	case pool.Polled:
		s.polled = n.Nonce
		s.terms.Gauges(&s.gauges, n.Readings)
		s.fresh = s.fresh || s.asked > 0 && n.Nonce >= s.asked
	case pool.Finished:
		s.finished(n)
	case pool.Unknown:
		s.unknown(n)
	case pool.Verified:
		for i, c := range s.checks {
			if c.nonce == n.Nonce {
				s.checks = append(s.checks[:i], s.checks[i+1:]...)
				c.caller.Checked(c.stream, n.Outcome == "success", s.level)
				break
			}
		}
	case pool.Down:
		s.linkDown()
	case pool.Synced:
		s.linkSynced()
	}
}

// outcomes are the pool's words for the end of a run.
var outcomes = map[string]choice.Outcome{
	"success":     choice.Done,
	"failure":     choice.Broken,
	"interrupted": choice.Stopped,
	"nothing":     choice.Void,
}

func (s *Server) finished(n *pool.Notice) {
	t := s.tasks[n.Task]
	if t == nil || !t.active {
		s.counts.Saw("end of a run nobody asked for")
		return
	}
	outcome, known := outcomes[n.Outcome]
	if !known {
		s.counts.Saw("end of a run with an unknown outcome")
		outcome = choice.Broken
	}
	s.end(t, outcome, n.Took, n.Result)
}

// end files the end of a run. It answers for itself: with the result, or as given up on.
func (s *Server) end(t *Task, outcome choice.Outcome, took time.Duration, result []byte) {
	t.active = false
	s.round.Ended = append(s.round.Ended, choice.Ending{Task: &t.Task, Outcome: outcome, Took: took})
	s.touched = true
	if t.answered {
		return
	}
	if outcome == choice.Done {
		s.answer(t, Answer{Verdict: Honoured, Result: result})
	} else {
		s.answer(t, Answer{Verdict: GivenUp})
	}
}

// unknown takes that the pool did not carry out a command. A run it does not know has not begun and will not.
func (s *Server) unknown(n *pool.Notice) {
	if n.Outcome != "spawn" {
		s.counts.Saw("pool did not carry out a command")
		return
	}
	s.counts.Saw("pool did not carry out a spawn")
	if t := s.tasks[n.Task]; t != nil && t.active {
		s.end(t, choice.Broken, 0, nil)
	}
}

// linkDown marks the runs of which the pool may or may not have been told: those given after the last poll
// that it answered.
func (s *Server) linkDown() {
	s.asked = 0
	s.alarms = append(s.alarms, s.Now()) // the alarm whose poll is lost
	for _, t := range s.tasks {          // each for itself, so the order decides nothing
		if t.active && t.sent && t.mark > s.polled {
			t.unsure = true
		}
	}
}

// linkSynced makes good what the link's loss left open. All notices up to now have been read, so a run that
// is still open runs, or never came to the pool. What was never sent is sent now. What may have been sent is
// sent again where a second run does no harm; the pool takes no notice of it while the first runs. A task
// that must not run twice is given up on instead: its run might end just while it is sent again. That gives
// away a task that never ran where the link broke in the few milliseconds before the pool read it.
func (s *Server) linkSynced() {
	var open []*Task
	for _, t := range s.tasks {
		if t.active {
			open = append(open, t)
		}
	}
	slices.SortFunc(open, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.id, b.id))
	})
	for _, t := range open {
		switch {
		case !t.sent && !t.answered, t.unsure && !t.answered && t.Type.Repeats == choice.Reissuable:
			t.sent, t.unsure = false, false
			s.spawn(t)
		case !t.sent:
			s.end(t, choice.Void, 0, nil)
		case t.unsure:
			s.counts.Saw("run not known to have begun, given up on")
			s.link.Suspend(t.id)
			s.end(t, choice.Broken, 0, nil)
		}
	}
}

func (s *Server) spawn(t *Task) {
	t.mark = s.link.Next()
	t.sent = s.link.Spawn(t.id, t.handler, t.body)
}

// Leave takes the notice to leave.
func (s *Server) Leave(within time.Duration) {
	if s.noticed > 0 {
		return
	}
	now := s.Now()
	s.noticed, s.stop = now, now+within-noticeDelay
	grace, _ := s.terms.Values["grace"].(time.Duration)
	s.retire = max(now, min(now+grace, s.stop-lastOrders))
	s.round.StopAt = s.stop
	s.touched = true
	s.log.Info("notice to leave", "stop_in", within, "no_more_connections_in", s.retire-now, "tasks", len(s.tasks))
}

// leaving goes through the end: no more connections once nothing that comes would be run, then the end
// itself as soon as all is answered and read by its caller, or at the last moment.
func (s *Server) leaving(now time.Duration, written bool) (left bool) {
	if s.noticed == 0 || now < s.retire {
		return false
	}
	open := 0
	for _, f := range s.fronts {
		if !s.retired {
			f.Retire()
		}
		open += f.Open()
	}
	if !s.retired {
		s.retired = true
		s.log.Info("no more connections", "open", open, "tasks", len(s.tasks))
		return false
	}
	unanswered := 0
	for _, t := range s.tasks {
		if !t.answered {
			unanswered++
		}
	}
	if unanswered > 0 || !written || open > 0 && now < s.stop-lastMoment {
		return false
	}
	s.log.Info("left", "connections", open, "stopped_runs", len(s.tasks), "before_stop", s.stop-now)
	return true
}

// answer gives a task its one answer.
func (s *Server) answer(t *Task, a Answer) {
	s.counts.That(!t.answered, "a task was answered twice")
	if t.answered {
		return
	}
	t.answered = true
	a.Level = s.level
	t.caller.Answer(t.stream, a)
	s.settle(t)
}

// Start implements choice.Writer, as do the methods below it.
func (s *Server) Start(t *choice.Task) {
	of := s.owner[t]
	s.counts.That(of != nil && !of.answered, "a settled task was started")
	grace, _ := s.terms.Values["grace"].(time.Duration)
	s.counts.That(s.noticed == 0 || t.Arrived <= s.noticed+grace, "a task from past the grace was started")
	if of == nil || of.answered {
		return
	}
	of.active = true
	if of.sent {
		s.link.Proceed(of.id)
		return
	}
	s.spawn(of)
}

// Pause stops a task's run.
func (s *Server) Pause(t *choice.Task) {
	if of := s.owner[t]; of != nil {
		s.link.Suspend(of.id)
	}
}

// Dismiss turns a task away that never ran.
func (s *Server) Dismiss(t *choice.Task, comeBack time.Duration, nowhereElse bool) {
	of := s.owner[t]
	s.counts.That(of != nil && !of.active && !of.sent, "a task that may have run was dismissed")
	if of != nil {
		s.answer(of, Answer{Verdict: Dismissed, ComeBack: comeBack, NowhereElse: nowhereElse})
	}
}

// GiveUp answers a task that may have run without a result.
func (s *Server) GiveUp(t *choice.Task) {
	if of := s.owner[t]; of != nil {
		s.answer(of, Answer{Verdict: GivenUp})
	}
}

// Health sets what health checks are told.
func (s *Server) Health(good, fromStore bool) {
	if good != s.good {
		s.log.Info("health", "good", good)
	}
	s.good, s.fromStore = good, fromStore
}

// Level sets what is told with every answer from here on.
func (s *Server) Level(level float64) { s.level = strconv.FormatFloat(level, 'f', -1, 64) }

// CloseIdle has the fronts close connections that have carried nothing for a while.
func (s *Server) CloseIdle(span time.Duration) {
	for _, f := range s.fronts {
		f.CloseIdle(span)
	}
}

// Wake sets an alarm.
func (s *Server) Wake(in time.Duration) { s.alarms = append(s.alarms, s.Now()+in) }

// Note logs the module's own words on something that operators may act on.
func (s *Server) Note(words string) { s.log.Info("decision", "note", words) }

// The remaining decisions are about numbered tasks and calls, which New has ruled out.

// AnswerFromFirst does nothing here.
func (s *Server) AnswerFromFirst(*choice.Task) { s.counts.That(false, "a repeat was to be answered") }

// Remember does nothing here.
func (s *Server) Remember(*choice.Task, time.Duration) {
	s.counts.That(false, "a number was to be kept")
}

// Forget does nothing here.
func (s *Server) Forget(*choice.Task) { s.counts.That(false, "a number was to be dropped") }

// Call does nothing here.
func (s *Server) Call(*choice.Task, time.Duration) { s.counts.That(false, "a call was to be made") }

// SkipCall does nothing here.
func (s *Server) SkipCall(*choice.Task) { s.counts.That(false, "a call was to be left out") }
