// Package scenario reads drills: scripts of a fleet, its load and its incidents. It runs them on an emulated fleet; the
// bench runs the same scripts on real daemons. The package does no I/O: scripts are passed as text.
//
// A script has one statement per line; # starts a comment.
//
//	title "A fifth of the servers dies during a rolling deploy"
//	servers 20 zones 2 cores 4
//	load 90% for 40s
//	habits least tries 3 budget 20% heeding
//	at 5s deploy each 1s within 2.5s
//	at 15s kill 20% of servers for 10s
//	at 12s for 6s load by 1.5
//
// The statement habits sets the options of routers; lists are the endpoint lists of routers. An incident ends after the
// time in its "for"; without one it lasts to the end of the drill.
package scenario

import (
	"time"

	"quartzpoint/emulator"
)

// IncidentKind is a kind of incident. Its text is the keyword in scripts.
type IncidentKind string

// The kinds of incidents.
const (
	KillServers    IncidentKind = "kill"
	RestartServers IncidentKind = "restart"
	Deploy         IncidentKind = "deploy"
	PauseServers   IncidentKind = "pause"
	SlowPools      IncidentKind = "slow"
	Neighbours     IncidentKind = "neighbours"
	Disconnect     IncidentKind = "flap"
	StepClock      IncidentKind = "clock"
	ChangeLoad     IncidentKind = "load"
	DelayEndpoints IncidentKind = "lists"
	SlowNetwork    IncidentKind = "network"
	LosePackets    IncidentKind = "loss"
	ChangeRouters  IncidentKind = "habits"
	ChangeClients  IncidentKind = "clients"
	StopDependency IncidentKind = "stop"
	SlowDependency IncidentKind = "drag"
	FailDependency IncidentKind = "fail"
)

// Incident is an incident of a drill. Its kind determines which fields are set. Share is the fraction of the running
// servers that it affects, and applies if Server and Zone are -1.
type Incident struct {
	At, Duration  time.Duration
	Kind          IncidentKind
	Share         float64
	Server        int           // -1 for none
	Zone          int           // -1 for none
	Factor        float64       // for some kinds a share: of the cores, the lost messages or the rejected calls
	Span          time.Duration // interval of a deploy, endpoint lag or clock step
	ShutdownLimit time.Duration // of a restart or deploy
	Name          string        // of a dependency
	RouterOptions emulator.RouterOptions
	ClientOptions emulator.ClientOptions
}

// Drill is a parsed script.
type Drill struct {
	Name, Title   string
	Fleet         emulator.Fleet // without a policy
	Load          float64        // share of the fleet's capacity
	Span          time.Duration
	BurstFactor   float64 // of the load, for one second every BurstInterval; 0 for no bursts
	BurstInterval time.Duration
	DailyCurve    bool // the load varies as over a day
	Incidents     []Incident
}
