# Targets for people and CI. See README.md.
GO ?= go
SEED ?= 1
POINT ?=
BIN := build/bin

# RED is a regular expression that matches the tests listed in KNOWN-RED.txt, or none.
RED := ^($(shell sed -n 's/^\(Test[A-Za-z]*\):.*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -))$$

.PHONY: build test check demo prove measure soak generate fuzz clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# check checks the formatting and runs the linters.
check:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# test runs all tests except those in RED with the race detector and fixed seeds, then
# the tests of the guarantees (prove) with seed 1. The tests against crowds of clients run
# apart from the others.
test: build
	$(GO) test -race -timeout 8m -skip "$(RED)" $$($(GO) list ./... | grep -v -e /internal/prove$$ -e /internal/crowd$$)
	$(GO) test -count=1 -timeout 8m -skip "$(RED)" ./internal/crowd
	$(MAKE) prove SEED=1

# prove runs the tests of the guarantees, or only the one that POINT names. They run in
# their own test binary so that their output is printed.
prove: build
	$(GO) test -c -o build/prove.test ./internal/prove
	cd internal/prove && ../../build/prove.test -test.timeout 20m -together 2 -seed $(SEED) -point "$(POINT)"

# soak runs the soak test, which injects random faults into nodes under load: SEEDS runs
# one after the other, with consecutive seeds from SEED.
SEEDS ?= 1
soak: build
	$(BIN)/rattanbench soak --seed $(SEED) --seeds $(SEEDS)

# demo runs the stand-ins, three daemons and callers on this machine.
demo: build
	scripts/demo.sh

# measure runs the measurements, prints a table and writes build/measure.jsonl. ONLY
# selects measurements by name, separated by commas.
measure: build
	$(BIN)/rattanbench measure --seed $(SEED) $(if $(ONLY),--only $(ONLY))

# fuzz runs the fuzz test of each parser for FUZZTIME.
FUZZTIME ?= 20s
fuzz:
	$(GO) test ./release -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	$(GO) test ./settings -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	$(GO) test ./mesh -run '^$$' -fuzz FuzzAccept -fuzztime $(FUZZTIME)
	$(GO) test ./gateway -run '^$$' -fuzz FuzzParseCompletion -fuzztime $(FUZZTIME)
	$(GO) test ./internal/rawjson -run '^$$' -fuzz FuzzSplit -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzDecodePage -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzDecodeChanges -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzDecodeInstance -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzDecodeConfiguration -fuzztime $(FUZZTIME)
	$(GO) test ./lease -run '^$$' -fuzz FuzzDecodeRecord -fuzztime $(FUZZTIME)
	$(GO) test ./quarantine -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME)

# generate generates the Go code of the .proto files with buf, which must be installed
# (go install github.com/bufbuild/buf/cmd/buf@v1.75.0). Its output is committed.
generate:
	buf generate

clean:
	rm -rf build
