# The commands of the project; CI runs the same ones.

.PHONY: build debug test race fuzz lint run clean

build:
	mkdir -p bin && go build -buildvcs=false -o bin/ ./cmd/...

# The build that stops at the first thing that does not hold.
debug:
	mkdir -p bin/debug && go build -buildvcs=false -tags debug -o bin/debug/ ./cmd/...

test:
	go test ./...

race:
	go test -race ./...

fuzz:
	go test -run none -fuzz FuzzCut -fuzztime 300000x ./internal/frame
	go test -run none -fuzz FuzzLine -fuzztime 300000x ./internal/pool
	go test -run none -fuzz FuzzConnection -fuzztime 20000x ./internal/front

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted" >&2; exit 1; fi
	go vet ./...
	go vet -tags debug ./...

# One server on loopback. Without a worker pool at its address it answers checks and gives tasks up in time.
run: build
	EDGE_CONFIG=deploy/sample.json bin/quartzpoint

clean:
	rm -rf bin
