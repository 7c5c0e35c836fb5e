package emulator

import (
	"math"
	"time"
)

// Incidents are called between events, by At. Those that take a share of the servers draw which; all that begin also end,
// by a call of their own.

// At has something happen at a moment of the run.
func (w *World) At(when time.Duration, do func()) { w.at(when, do) }

// RandomServers draws a share of the servers that are alive, at least one where the share is over nothing.
func (w *World) RandomServers(share float64) (numbers []int) {
	var alive []int
	for _, s := range w.servers {
		if s.alive {
			alive = append(alive, s.number)
		}
	}
	n := int(math.Round(share * float64(len(alive))))
	if share > 0 {
		n = max(n, 1)
	}
	for _, i := range w.incidentRand.Perm(len(alive))[:min(n, len(alive))] {
		numbers = append(numbers, alive[i])
	}
	return numbers
}

// ZoneServers gives the servers of a zone, from 0.
func (w *World) ZoneServers(zone int) (numbers []int) {
	for _, s := range w.servers {
		if s.zone == zone {
			numbers = append(numbers, s.number)
		}
	}
	return numbers
}

// Kill ends servers at once.
func (w *World) Kill(numbers []int) {
	for _, n := range numbers {
		w.servers[n].kill()
		w.updateEndpoints(n, false)
	}
}

// Boot starts servers that are down, with nothing.
func (w *World) Boot(numbers []int) {
	for _, n := range numbers {
		if !w.servers[n].alive {
			w.servers[n].boot()
			w.updateEndpoints(n, true)
		}
	}
}

// Restart gives servers the notice to leave, and starts them anew once they are gone.
func (w *World) Restart(numbers []int, within time.Duration) {
	for _, n := range numbers {
		if !w.servers[n].alive {
			continue
		}
		w.updateEndpoints(n, false)
		w.servers[n].shutdown(within, func() { w.after(bootTime, func() { w.Boot([]int{n}) }) })
	}
}

// bootTime is from the end of a process to the start of the next.
const bootTime = 500 * time.Millisecond

// Deploy restarts all servers, one after the other.
func (w *World) Deploy(each time.Duration, within time.Duration) {
	for i := range w.servers {
		w.after(time.Duration(i)*each, func() { w.Restart([]int{i}, within) })
	}
}

// Freeze has servers stand still.
func (w *World) Freeze(numbers []int, span time.Duration) {
	for _, n := range numbers {
		w.servers[n].freeze(span)
	}
}

// SetSlowFactor has the pools of servers work by a factor; 1 is as before.
func (w *World) SetSlowFactor(numbers []int, by float64) {
	for _, n := range numbers {
		s := w.servers[n]
		s.pool.change(func() { s.pool.speedFactor = 1 / by })
	}
}

// SetNeighbourShare take a share of the cores of servers.
func (w *World) SetNeighbourShare(numbers []int, share float64) {
	for _, n := range numbers {
		s := w.servers[n]
		s.pool.change(func() { s.pool.neighbourCores = share * s.pool.machine.Cores })
	}
}

// Disconnect cuts the ways to servers for a span.
func (w *World) Disconnect(numbers []int, span time.Duration) {
	for _, n := range numbers {
		for _, r := range w.routers {
			r.views[n].disconnectedUntil = w.now + span
		}
	}
}

// StepClock has the wall clocks of servers jump.
func (w *World) StepClock(numbers []int, by time.Duration) {
	for _, n := range numbers {
		w.servers[n].clockOffset += by
	}
}

// SetLoadFactor has the load be more or less; 1 is as before.
func (w *World) SetLoadFactor(factor float64) { w.loadFactor = factor }

// SetEndpointLag changes how late routers hear of servers; Delay by how much longer the ways are, and Loss what part is lost.
func (w *World) SetEndpointLag(lag time.Duration) { w.endpointLag = lag }

// SetDelayFactor has ways be longer by a factor.
func (w *World) SetDelayFactor(by float64) { w.delayFactor = by }

// SetLossRate has a part of what is sent be lost, and sent again.
func (w *World) SetLossRate(part float64) { w.lossRate = part }

// SetRouterOptions changes those of all routers.
func (w *World) SetRouterOptions(h RouterOptions) {
	for _, r := range w.routers {
		r.options = h
	}
}

// RouterOptions are those of the first router.
func (w *World) RouterOptions() RouterOptions { return w.routers[0].options }

// SetClients changes what those do who get nothing.
func (w *World) SetClients(c Clients) { w.clients = c }

// CurrentClients tells it.
func (w *World) CurrentClients() Clients { return w.clients }

// SetDependency changes one: by how much slower it is, what share it turns away, and whether it answers at all.
func (w *World) SetDependency(name string, slow, errors float64, stops bool) (known bool) {
	d := w.dependencies[name]
	if d == nil {
		return false
	}
	d.slowFactor, d.errorRate, d.unresponsive = slow, errors, stops
	if !stops {
		d.serveQueue()
	}
	return true
}
