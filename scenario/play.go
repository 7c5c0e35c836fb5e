package scenario

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"quartzpoint/emulator"
)

// Rate returns the load of the whole fleet in requests per second, without bursts and daily curve.
func (d *Drill) Rate() float64 {
	return float64(d.Fleet.Servers) * emulator.Rate(d.Fleet.Routes, d.Fleet.Machine, d.Load)
}

// LoadFactor returns the factor of the load at a moment, from bursts and the daily curve.
func (d *Drill) LoadFactor(at time.Duration) float64 {
	factor := 1.0
	if d.DailyCurve { // the drill's span is one day; the load at night is a third of the peak
		factor = 0.667 - 0.333*math.Cos(2*math.Pi*float64(at)/float64(d.Span))
	}
	if d.BurstFactor > 0 && d.BurstInterval > 0 && at%d.BurstInterval < time.Second && at >= d.BurstInterval {
		factor *= d.BurstFactor
	}
	return factor
}

// Arrivals draws the drill's load for a run in real time, with bursts, the daily curve and the incidents that change
// the load.
func (d *Drill) Arrivals(seed int64) []emulator.Arrival {
	maxFactor, factor := 1.0, func(at time.Duration) float64 {
		product := d.LoadFactor(at)
		for _, i := range d.Incidents {
			if i.Kind == ChangeLoad && at >= i.At && (i.Duration == 0 || at < i.At+i.Duration) {
				product *= i.Factor
			}
		}
		return product
	}
	for at := time.Duration(0); at < d.Span; at += 10 * time.Millisecond {
		maxFactor = max(maxFactor, factor(at))
	}
	rng := rand.New(rand.NewSource(seed ^ 0x7417))
	return slices.DeleteFunc(emulator.Arrivals(d.Fleet.Routes, d.Rate()*maxFactor, d.Span, seed), func(a emulator.Arrival) bool {
		return rng.Float64()*maxFactor >= factor(a.At)
	})
}

// EmulateLoad runs the drill on an emulated fleet with the given arrivals.
func (d *Drill) EmulateLoad(policy emulator.PolicyMaker, seed int64, load []emulator.Arrival) emulator.Result {
	w := d.world(policy, seed)
	return w.Run(emulator.Load{Arrivals: load, Span: d.Span})
}

func (d *Drill) world(policy emulator.PolicyMaker, seed int64) *emulator.World {
	fleet := d.Fleet
	fleet.Policy = policy
	w := emulator.New(fleet, seed)
	for _, i := range d.Incidents {
		w.At(i.At, func() { d.inject(w, i) })
	}
	return w
}

// Emulate runs the drill on an emulated fleet with arrivals drawn from the seed.
func (d *Drill) Emulate(policy emulator.PolicyMaker, seed int64) emulator.Result {
	return d.world(policy, seed).Run(emulator.Load{Rate: d.Rate(), Span: d.Span, Factor: d.LoadFactor})
}

// targetServers returns the servers of an incident. A share of servers is drawn when the incident begins.
func targetServers(w *emulator.World, i Incident) []int {
	switch {
	case i.Server >= 0:
		return []int{i.Server}
	case i.Zone >= 0:
		return w.ZoneServers(i.Zone)
	}
	return w.RandomServers(i.Share)
}

// inject begins an incident and schedules its end.
func (d *Drill) inject(w *emulator.World, i Incident) {
	end := func(do func()) {
		if i.Duration > 0 {
			w.At(i.At+i.Duration, do)
		}
	}
	switch i.Kind {
	case KillServers:
		numbers := targetServers(w, i)
		w.Kill(numbers)
		end(func() { w.Boot(numbers) })
	case RestartServers:
		w.Restart(targetServers(w, i), i.ShutdownLimit)
	case Deploy:
		w.Deploy(i.Span, i.ShutdownLimit)
	case PauseServers:
		w.Freeze(targetServers(w, i), i.Duration)
	case SlowPools:
		numbers := targetServers(w, i)
		w.SetSlowFactor(numbers, i.Factor)
		end(func() { w.SetSlowFactor(numbers, 1) })
	case Neighbours:
		numbers := targetServers(w, i)
		w.SetNeighbourShare(numbers, i.Factor)
		end(func() { w.SetNeighbourShare(numbers, 0) })
	case Disconnect:
		w.Disconnect(targetServers(w, i), i.Duration)
	case StepClock:
		numbers := targetServers(w, i)
		w.StepClock(numbers, i.Span)
		end(func() { w.StepClock(numbers, -i.Span) })
	default:
		d.injectFleet(w, i, end)
	}
}

// injectFleet begins an incident that does not concern single servers. end schedules its end.
func (d *Drill) injectFleet(w *emulator.World, i Incident, end func(do func())) {
	switch i.Kind {
	case ChangeLoad:
		w.SetLoadFactor(i.Factor)
		end(func() { w.SetLoadFactor(1) })
	case DelayEndpoints:
		w.SetEndpointLag(i.Span)
		end(func() { w.SetEndpointLag(d.Fleet.EndpointLag) })
	case SlowNetwork:
		w.SetDelayFactor(i.Factor)
		end(func() { w.SetDelayFactor(1) })
	case LosePackets:
		w.SetLossRate(i.Factor)
		end(func() { w.SetLossRate(0) })
	case ChangeRouters:
		before := w.RouterOptions()
		w.SetRouterOptions(i.RouterOptions)
		end(func() { w.SetRouterOptions(before) })
	case ChangeClients:
		before := w.ClientOptions()
		w.SetClientOptions(i.ClientOptions)
		end(func() { w.SetClientOptions(before) })
	case StopDependency:
		w.SetDependency(i.Name, 1, 0, true)
		end(func() { w.SetDependency(i.Name, 1, 0, false) })
	case SlowDependency:
		w.SetDependency(i.Name, i.Factor, 0, false)
		end(func() { w.SetDependency(i.Name, 1, 0, false) })
	case FailDependency:
		w.SetDependency(i.Name, 1, i.Factor, false)
		end(func() { w.SetDependency(i.Name, 1, 0, false) })
	default: // incidents of single servers
	}
}
