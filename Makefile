# Targets for development; .ci/run calls the same ones.

.PHONY: sites build debug test race fuzz lint run clean soak soak-short measure-peers measure-dependencies measure-library measure-state measure-emulator measure-scale measure-configuration scale capacity

KIT ?= ../given/kit

# Linters have a module of their own, so that their dependencies do not affect those of the programs.
TOOL = go tool -modfile=tools/go.mod

# The linter's cache stores paths of source files. Shared with another checkout that was removed since, it reports issues
# that a nolint comment excludes, as it cannot read that comment any more. Each checkout therefore has its own cache.
LINTER = GOLANGCI_LINT_CACHE=$(CURDIR)/bin/golangci-lint-cache $(TOOL) golangci-lint

# Packages that contain decision logic. They must not do I/O or read a clock; lint checks that they import no other
# package of this module, and none of net, os, syscall and log.
DECIDES = ./admission ./estimate ./budget ./recovery ./emulator ./rulecheck ./scenario ./baseline ./classpool ./lease ./configuration ./reconcile ./wallclock ./saturate

# Builds as deploy/balancer.toml does: linked against the C library, which the fleet bench requires.
build:
	mkdir -p bin && CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o bin/ ./cmd/...

# Builds with assertions: the programs stop at the first violated invariant.
debug:
	mkdir -p bin/debug && go build -buildvcs=false -tags debug -o bin/debug/ ./cmd/...

# Prints and skips exactly the known failures in KNOWN-RED.txt. -count=1 disables the cache of test results, which would
# miss changes in the programs that tests build and start.
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

# Runs real processes under random faults, one run per seed, and checks them against the four rules. soak is run by hand;
# CI runs the shorter soak-short.
soak: build
	bin/quartzpoint-bench soak --seeds 60 --keep found/soak

soak-short: build
	bin/quartzpoint-bench soak --seeds 24 --span 5s

# Runs one server on loopback. Without a worker pool at the configured address, it still answers health checks, and
# answers requests in time without running them.
run: build
	EDGE_CONFIG=deploy/sample.json bin/quartzpoint

# Compares new servers with and without the estimates of their peers, over sockets with emulated workers.
measure-peers: build
	bin/quartzpoint-bench measure peers

# Compares budgeted calls with flat timeouts and retries, over sockets with emulated dependencies.
measure-dependencies: build
	bin/quartzpoint-bench measure dependencies

# Compares the library with the daemon and with baseline policies, and measures its overhead, over sockets and in
# process, with emulated work.
measure-library: build
	bin/quartzpoint-bench measure library

# Measures the benefit of a state directory at a restart and its cost, and checks that no effect is lost or repeated when
# processes are killed; with processes, sockets and emulated workers.
measure-state: build
	bin/quartzpoint-bench measure state

# Compares the emulator with real daemons (sockets, emulated workers), measures its speed, and compares policies over
# drills in simulation.
measure-emulator: build
	bin/quartzpoint-bench measure emulator

# Checks that a daemon at the planned size, and small hollow fleets, stay within their budgets, over sockets with
# emulated workers.
measure-scale: build
	bin/quartzpoint-bench measure scale

# Checks that configuration changes take effect on all servers in time, also if machines fail or the network is
# partitioned: five control machines, three app servers and 490 hollow watchers, with processes and sockets.
measure-configuration: build
	bin/quartzpoint-bench measure configuration

# Measures everything up to the planned size and writes it into results/scale. Takes about seven minutes on an otherwise
# idle machine.
scale: build
	bin/quartzpoint-bench scale
	bin/quartzpoint-bench measure configuration --out results/scale

# Updates the figures in docs/CAPACITY.md from results/scale.
capacity: build
	bin/quartzpoint-bench capacity

# Copies the kit's files that the bench expects in deploy/sites, which git ignores. Requires the kit in $(KIT).
sites:
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/

clean:
	rm -rf bin
