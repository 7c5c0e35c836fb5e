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
	return float64(d.Fleet.Servers) * emulator.Rate(d.Fleet.Routes, d.Fleet.Machine, d.Share)
}

// Over is by how much the load is more at a moment, by its bursts and its curve.
func (d *Drill) Over(at time.Duration) float64 {
	by := 1.0
	if d.Curve { // a day in the drill's span, from a third at night
		by = 0.667 - 0.333*math.Cos(2*math.Pi*float64(at)/float64(d.Span))
	}
	if d.Burst > 0 && d.Every > 0 && at%d.Every < time.Second && at >= d.Every {
		by *= d.Burst
	}
	return by
}

// Arrivals draws the drill's load beforehand, for what plays it in real time: its bursts, its curve, and the incidents of
// its load.
func (d *Drill) Arrivals(seed int64) []emulator.Arrival {
	most, over := 1.0, func(at time.Duration) float64 {
		by := d.Over(at)
		for _, i := range d.Incidents {
			if i.Kind == "load" && at >= i.At && (i.For == 0 || at < i.At+i.For) {
				by *= i.By
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
		w.At(i.At, func() { d.happen(w, i) })
	}
	return w
}

// Emulate plays the drill on an emulated fleet.
func (d *Drill) Emulate(policy emulator.PolicyMaker, seed int64) emulator.Result {
	return d.world(policy, seed).Run(emulator.Load{Rate: d.Rate(), Span: d.Span, Factor: d.Over})
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

// happen has an incident begin, and sets its end.
func (d *Drill) happen(w *emulator.World, i Incident) {
	end := func(do func()) {
		if i.For > 0 {
			w.At(i.At+i.For, do)
		}
	}
	switch i.Kind {
	case "kill":
		numbers := servers(w, i)
		w.Kill(numbers)
		end(func() { w.Boot(numbers) })
	case "restart":
		w.Restart(servers(w, i), i.Within)
	case "deploy":
		w.Deploy(i.Span, i.Within)
	case "pause":
		w.Freeze(servers(w, i), i.For)
	case "slow":
		numbers := servers(w, i)
		w.SetSlowFactor(numbers, i.By)
		end(func() { w.SetSlowFactor(numbers, 1) })
	case "neighbours":
		numbers := servers(w, i)
		w.SetNeighbourShare(numbers, i.By)
		end(func() { w.SetNeighbourShare(numbers, 0) })
	case "flap":
		w.Disconnect(servers(w, i), i.For)
	case "clock":
		numbers := servers(w, i)
		w.StepClock(numbers, i.Span)
		end(func() { w.StepClock(numbers, -i.Span) })
	case "load":
		w.SetLoadFactor(i.By)
		end(func() { w.SetLoadFactor(1) })
	case "lists":
		w.SetEndpointLag(i.Span)
		end(func() { w.SetEndpointLag(d.Fleet.EndpointLag) })
	case "network":
		w.SetDelayFactor(i.By)
		end(func() { w.SetDelayFactor(1) })
	case "loss":
		w.SetLossRate(i.By)
		end(func() { w.SetLossRate(0) })
	case "habits":
		before := w.RouterOptions()
		w.SetRouterOptions(i.Habits)
		end(func() { w.SetRouterOptions(before) })
	case "clients":
		before := w.CurrentClients()
		w.SetClients(i.Clients)
		end(func() { w.SetClients(before) })
	case "stop":
		w.SetDependency(i.Name, 1, 0, true)
		end(func() { w.SetDependency(i.Name, 1, 0, false) })
	case "drag":
		w.SetDependency(i.Name, i.By, 0, false)
		end(func() { w.SetDependency(i.Name, 1, 0, false) })
	case "fail":
		w.SetDependency(i.Name, 1, i.By, false)
		end(func() { w.SetDependency(i.Name, 1, 0, false) })
	}
}
