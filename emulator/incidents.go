package emulator

import (
	"math"
	"time"
)

// The methods in this file change a running world. They are called from events set by At. A change lasts until the next
// call of its method.

// At schedules do at a moment of the run.
func (w *World) At(when time.Duration, do func()) { w.at(when, do) }

// RandomServers draws a share of the running servers, at least one if the share is over 0 and a server runs.
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

// ZoneServers returns the servers of a zone. Zones are counted from 0.
func (w *World) ZoneServers(zone int) (numbers []int) {
	for _, s := range w.servers {
		if s.zone == zone {
			numbers = append(numbers, s.number)
		}
	}
	return numbers
}

// Kill ends servers as SIGKILL does.
func (w *World) Kill(numbers []int) {
	for _, n := range numbers {
		w.servers[n].kill()
		w.updateEndpoints(n, false)
	}
}

// Boot starts servers that are down, without any state.
func (w *World) Boot(numbers []int) {
	for _, n := range numbers {
		if !w.servers[n].alive {
			w.servers[n].boot()
			w.updateEndpoints(n, true)
		}
	}
}

// Restart shuts servers down gracefully, each within shutdownLimit, and starts each again bootTime after its end.
func (w *World) Restart(numbers []int, shutdownLimit time.Duration) {
	for _, n := range numbers {
		if !w.servers[n].alive {
			continue
		}
		w.updateEndpoints(n, false)
		w.servers[n].shutdown(shutdownLimit, func() { w.after(bootTime, func() { w.Boot([]int{n}) }) })
	}
}

// bootTime is the time between the end of a process and the start of the next.
const bootTime = 500 * time.Millisecond

// Deploy restarts all servers one after the other, one per interval, as Restart does.
func (w *World) Deploy(interval time.Duration, shutdownLimit time.Duration) {
	for i := range w.servers {
		w.after(time.Duration(i)*interval, func() { w.Restart([]int{i}, shutdownLimit) })
	}
}

// Freeze suspends servers and their pools for a span.
func (w *World) Freeze(numbers []int, span time.Duration) {
	for _, n := range numbers {
		w.servers[n].freeze(span)
	}
}

// SetSlowFactor makes the pools of servers slower by a factor; 1 restores the usual speed.
func (w *World) SetSlowFactor(numbers []int, factor float64) {
	for _, n := range numbers {
		s := w.servers[n]
		s.pool.change(func() { s.pool.speedFactor = 1 / factor })
	}
}

// SetNeighbourShare has other processes on the machines of servers use a share of the cores; 0 frees the cores.
func (w *World) SetNeighbourShare(numbers []int, share float64) {
	for _, n := range numbers {
		s := w.servers[n]
		s.pool.change(func() { s.pool.neighbourCores = share * s.pool.machine.Cores })
	}
}

// Disconnect cuts the connections of all routers to servers for a span.
func (w *World) Disconnect(numbers []int, span time.Duration) {
	for _, n := range numbers {
		for _, r := range w.routers {
			r.views[n].disconnectedUntil = w.now + span
		}
	}
}

// StepClock steps the wall clocks of servers, from which they calculate the age of requests.
func (w *World) StepClock(numbers []int, by time.Duration) {
	for _, n := range numbers {
		w.servers[n].clockOffset += by
	}
}

// SetLoadFactor multiplies the load; 1 restores the usual load.
func (w *World) SetLoadFactor(factor float64) { w.loadFactor = factor }

// SetEndpointLag sets the delay of endpoint updates at routers.
func (w *World) SetEndpointLag(lag time.Duration) { w.endpointLag = lag }

// SetDelayFactor multiplies network delays; 1 restores the usual delay.
func (w *World) SetDelayFactor(factor float64) { w.delayFactor = factor }

// SetLossRate sets the fraction of messages that are lost and sent again.
func (w *World) SetLossRate(rate float64) { w.lossRate = rate }

// SetRouterOptions sets the options of all routers.
func (w *World) SetRouterOptions(options RouterOptions) {
	for _, r := range w.routers {
		r.options = options
	}
}

// RouterOptions returns the options of the first router.
func (w *World) RouterOptions() RouterOptions { return w.routers[0].options }

// SetClientOptions sets the options of clients. A request keeps the number of retries that it was created with.
func (w *World) SetClientOptions(options ClientOptions) { w.clientOptions = options }

// ClientOptions returns the options of clients.
func (w *World) ClientOptions() ClientOptions { return w.clientOptions }

// SetDependency sets a dependency's slowdown, its fraction of rejected calls, and whether it stops answering. It
// reports whether the dependency exists.
func (w *World) SetDependency(name string, slowFactor, errorRate float64, unresponsive bool) (known bool) {
	d := w.dependencies[name]
	if d == nil {
		return false
	}
	d.slowFactor, d.errorRate, d.unresponsive = slowFactor, errorRate, unresponsive
	if !unresponsive {
		d.serveQueue()
	}
	return true
}
