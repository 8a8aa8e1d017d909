# Targets for contributors. All tools are "tool" lines in go.mod, so none has to be
# installed by hand.

PACKAGES := ./... ./operator/... ./standin/...

.PHONY: all build deploy fmt lint test hostile soak fuzz bench demo clean

all: lint build test

build:
	go build -o bin/ ./cmd/... ./standin/cmd/...

# Builds as the platform does: linked against the C library.
deploy:
	$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)

fmt:
	go tool gofumpt -w .

lint:
	@out=$$(go tool gofumpt -l .); if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)
	go vet -tags hostile ./hostile
	go tool staticcheck -tags hostile ./hostile

# Runs every test with the race detector, except those listed in KNOWN-RED.txt.
test: build
	./scripts/test.sh $(PACKAGES)

# Sends what uncontrolled clients send to child processes and measures their memory and
# descriptors. These tests run one at a time, without the race detector and apart from
# other load. Tests listed in KNOWN-RED.txt are passed over.
hostile:
	TEST_FLAGS="-count=1 -tags hostile" ./scripts/test.sh ./hostile

# Runs fifty seeds of the fault soak, which takes some minutes. "make test" runs two.
soak:
	go test ./soak -run TestSoak -seeds 50 -first $${FIRST:-1} -duration 6s -timeout 60m

# Runs each fuzz target for a fixed, small number of executions.
fuzz:
	./scripts/fuzz.sh

bench: build
	go run ./bench

clean:
	rm -rf bin

demo: build
	./bin/demo
