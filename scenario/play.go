package scenario

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"quartzpoint/emulator"
)

// Rate is the drill's load in tasks a second, for the whole fleet.
func (d *Drill) Rate() float64 {
	return float64(d.Fleet.Servers) * emulator.Rate(d.Fleet.Routes, d.Fleet.Machine, d.Load)
}

// LoadFactor is by how much the load is more at a moment, by its bursts and its curve.
func (d *Drill) LoadFactor(at time.Duration) float64 {
	by := 1.0
	if d.DailyCurve { // a day in the drill's span, from a third at night
		by = 0.667 - 0.333*math.Cos(2*math.Pi*float64(at)/float64(d.Span))
	}
	if d.BurstFactor > 0 && d.BurstInterval > 0 && at%d.BurstInterval < time.Second && at >= d.BurstInterval {
		by *= d.BurstFactor
	}
	return by
}

// Arrivals draws the drill's load beforehand, for what plays it in real time: its bursts, its curve, and the incidents of
// its load.
func (d *Drill) Arrivals(seed int64) []emulator.Arrival {
	most, over := 1.0, func(at time.Duration) float64 {
		by := d.LoadFactor(at)
		for _, i := range d.Incidents {
			if i.Kind == "load" && at >= i.At && (i.Duration == 0 || at < i.At+i.Duration) {
				by *= i.Factor
			}
		}
		return by
	}
	for at := time.Duration(0); at < d.Span; at += 10 * time.Millisecond {
		most = max(most, over(at))
	}
	thin := rand.New(rand.NewSource(seed ^ 0x7417))
	return slices.DeleteFunc(emulator.Arrivals(d.Fleet.Routes, d.Rate()*most, d.Span, seed), func(a emulator.Arrival) bool {
		return thin.Float64()*most >= over(a.At)
	})
}

// EmulateLoad plays the drill with arrivals that were drawn.
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

// Emulate plays the drill on an emulated fleet.
func (d *Drill) Emulate(policy emulator.PolicyMaker, seed int64) emulator.Result {
	return d.world(policy, seed).Run(emulator.Load{Rate: d.Rate(), Span: d.Span, Factor: d.LoadFactor})
}

// servers are those that an incident means, drawn as it happens.
func servers(w *emulator.World, i Incident) []int {
	switch {
	case i.Server >= 0:
		return []int{i.Server}
	case i.Zone >= 0:
		return w.ZoneServers(i.Zone)
	}
	return w.RandomServers(i.Share)
}

// inject has an incident begin, and sets its end.
func (d *Drill) inject(w *emulator.World, i Incident) {
	end := func(do func()) {
		if i.Duration > 0 {
			w.At(i.At+i.Duration, do)
		}
	}
	switch i.Kind {
	case "kill":
		numbers := servers(w, i)
		w.Kill(numbers)
		end(func() { w.Boot(numbers) })
	case "restart":
		w.Restart(servers(w, i), i.ShutdownLimit)
	case "deploy":
		w.Deploy(i.Span, i.ShutdownLimit)
	case "pause":
		w.Freeze(servers(w, i), i.Duration)
	case "slow":
		numbers := servers(w, i)
		w.SetSlowFactor(numbers, i.Factor)
		end(func() { w.SetSlowFactor(numbers, 1) })
	case "neighbours":
		numbers := servers(w, i)
		w.SetNeighbourShare(numbers, i.Factor)
		end(func() { w.SetNeighbourShare(numbers, 0) })
	case "flap":
		w.Disconnect(servers(w, i), i.Duration)
	case "clock":
		numbers := servers(w, i)
		w.StepClock(numbers, i.Span)
		end(func() { w.StepClock(numbers, -i.Span) })
	case "load":
		w.SetLoadFactor(i.Factor)
		end(func() { w.SetLoadFactor(1) })
	case "lists":
		w.SetEndpointLag(i.Span)
		end(func() { w.SetEndpointLag(d.Fleet.EndpointLag) })
	case "network":
		w.SetDelayFactor(i.Factor)
		end(func() { w.SetDelayFactor(1) })
	case "loss":
		w.SetLossRate(i.Factor)
		end(func() { w.SetLossRate(0) })
	case "habits":
		before := w.RouterOptions()
		w.SetRouterOptions(i.RouterOptions)
		end(func() { w.SetRouterOptions(before) })
	case "clients":
		before := w.CurrentClients()
		w.SetClients(i.Clients)
		end(func() { w.SetClients(before) })
	case "stop":
		w.SetDependency(i.Name, 1, 0, true)
		end(func() { w.SetDependency(i.Name, 1, 0, false) })
	case "drag":
		w.SetDependency(i.Name, i.Factor, 0, false)
		end(func() { w.SetDependency(i.Name, 1, 0, false) })
	case "fail":
		w.SetDependency(i.Name, 1, i.Factor, false)
		end(func() { w.SetDependency(i.Name, 1, 0, false) })
	}
}
