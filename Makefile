# The commands of the project; CI runs the same ones.

.PHONY: sites build debug test race fuzz lint run clean soak soak-short measure-peers measure-dependencies measure-library measure-state measure-emulator measure-scale measure-configuration scale capacity

KIT ?= ../given/kit

# The linters' versions are pinned apart from what the programs need.
TOOL = go tool -modfile=tools/go.mod
LINTER = $(TOOL) golangci-lint

# Packages that decide: no I/O, no clock, nothing that carries.
DECIDES = ./admission ./estimate ./budget ./recovery ./emulator ./rulecheck ./scenario ./baseline ./classpool ./lease ./configuration ./reconcile ./wallclock

# As deploy/balancer.toml builds: linked against the C library, which the fleet bench requires.
build:
	mkdir -p bin && CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o bin/ ./cmd/...

# The build that stops at the first thing that does not hold.
debug:
	mkdir -p bin/debug && go build -buildvcs=false -tags debug -o bin/debug/ ./cmd/...

# Known failures (KNOWN-RED.txt) are printed and passed over, and nothing else is. -count=1: tests that start the programs build them
# anew, which the cache of test results does not know.
test:
	@.ci/known-red
	@skip=$$(.ci/known-red --skip) && set -x && go test -count=1 $$skip ./...

race:
	@.ci/known-red
	@skip=$$(.ci/known-red --skip) && set -x && go test -race -count=1 $$skip ./...

fuzz:
	go test -run none -fuzz FuzzParse -fuzztime 300000x ./internal/frame
	go test -run none -fuzz FuzzLine -fuzztime 300000x ./internal/workerlink
	go test -run none -fuzz FuzzConnection -fuzztime 20000x ./internal/frontend
	go test -run none -fuzz FuzzRead -fuzztime 300000x ./internal/store
	go test -run none -fuzz FuzzExchange -fuzztime 300000x ./internal/peersync

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted" >&2; exit 1; fi
	go vet ./...
	go vet -tags debug ./...
	go tool staticcheck ./...
	go tool staticcheck -tags debug ./...
	$(LINTER) run ./...
	$(LINTER) run --build-tags debug ./...
	@dead=$$($(TOOL) deadcode -test ./...); if [ -n "$$dead" ]; then echo "reached by nothing: $$dead" >&2; exit 1; fi
	@bad=$$(go list -deps $(DECIDES) | grep '^quartzpoint/' | grep -vxF "$$(go list $(DECIDES))"); \
		if [ -n "$$bad" ]; then echo "packages that decide import: $$bad" >&2; exit 1; fi
	@for p in $(DECIDES); do \
		bad=$$(go list -f '{{join .Imports "\n"}}' $$p | grep -xE 'net|net/.*|os|os/.*|syscall|log|log/slog'); \
		if [ -n "$$bad" ]; then echo "$$p decides and imports $$bad" >&2; exit 1; fi; done
	@bad=$$(go list -f '{{$$p := .ImportPath}}{{range .Imports}}{{$$p}} imports {{.}}{{"\n"}}{{end}}' \
		$$(go list ./... | grep -vE '^quartzpoint/(internal/testkit|cmd/quartzpoint-bench)(/|$$)') | grep ' imports quartzpoint/internal/testkit'); \
		if [ -n "$$bad" ]; then echo "test tools in programs: $$bad" >&2; exit 1; fi
	@bad=$$(go list -f '{{$$p := .ImportPath}}{{range .Imports}}{{$$p}} imports {{.}}{{"\n"}}{{end}}' ./internal/... | \
		grep -E ' imports quartzpoint(/middleware(/.*)?)?$$'); \
		if [ -n "$$bad" ]; then echo "internal packages that import the library: $$bad" >&2; exit 1; fi

# Real processes under faults drawn from seeds, held against the four rules: by hand, and shorter in CI.
soak: build
	bin/quartzpoint-bench soak --seeds 60 --keep found/soak

soak-short: build
	bin/quartzpoint-bench soak --seeds 24 --span 5s

# One server on loopback. Without a worker pool at its address it answers checks and gives tasks up in time.
run: build
	EDGE_CONFIG=deploy/sample.json bin/quartzpoint

# What a newcomer gains, or loses, by its peers' word; sockets, emulated workers.
measure-peers: build
	bin/quartzpoint-bench measure peers

# What budgets of calls gain over flat time-outs and retries; sockets, emulated dependencies.
measure-dependencies: build
	bin/quartzpoint-bench measure dependencies

# The library beside the daemon, baselines, and its own cost; sockets and in process, emulated work.
measure-library: build
	bin/quartzpoint-bench measure library

# What a folder of state is worth at a restart, kills, and what it costs; processes, sockets, emulated workers.
measure-state: build
	bin/quartzpoint-bench measure state

# The emulator beside real daemons, its speed, and policies over drills; sockets with emulated workers, and simulated.
measure-emulator: build
	bin/quartzpoint-bench measure emulator

# A daemon at the planned size and small hollow fleets, held against the budgets; sockets, emulated workers.
measure-scale: build
	bin/quartzpoint-bench measure scale

# Changes of configuration in force everywhere: five control machines, three app servers, 490 hollow watchers, and
# losses and cuts between them; processes and sockets.
measure-configuration: build
	bin/quartzpoint-bench measure configuration

# Everything up to the planned size, into results/scale: about seven minutes on a machine that does nothing else.
scale: build
	bin/quartzpoint-bench scale
	bin/quartzpoint-bench measure configuration --out results/scale

# The figures of docs/CAPACITY.md, from results/scale.
capacity: build
	bin/quartzpoint-bench capacity

# The kit's files that the bench wants beside a site; git ignores them. Needs the kit.
sites:
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/

clean:
	rm -rf bin
