TEST_TIMEOUT = 16m

.PHONY: build build-deploy test lint fmt bench bench-policy bench-sizing soak soak-processes soak-stopped soak-replacements capacity

build:
	go build -o bin/cactusbay .

# build-deploy runs the build line of the deploy file.
build-deploy:
	bash script/build-deploy

test:
	bash script/test $(TEST_TIMEOUT)

lint:
	bash script/lint

fmt:
	gofmt -w .

# soak runs random faults: make soak SEED=7 MINUTES=5
SEED ?= 1
MINUTES ?= 1
soak:
	go test -v -count=1 -timeout 0 -run '^TestSoak$$' ./test -args -soak.seed=$(SEED) -soak.minutes=$(MINUTES)

# soak-processes runs random faults on real processes: make soak-processes SEED=7 MINUTES=5
soak-processes:
	go test -v -count=1 -timeout 0 -run '^TestFaults$$' ./platform/faults -args -faults.seed=$(SEED) -faults.minutes=$(MINUTES) $(FAULTS)

# soak-stopped stops model servers whole beside streams: make soak-stopped SEED=7 MINUTES=5
soak-stopped:
	go test -v -count=1 -timeout 0 -run '^TestStreamsBesideStoppedServersStayWhole$$' ./platform/faults -args -faults.seed=$(SEED) -faults.minutes=$(MINUTES) $(FAULTS)

# soak-replacements runs faults and replacements of control instances:
# make soak-replacements SEED=7 SEEDS=50
SEEDS ?= 50
soak-replacements:
	go test -v -count=1 -timeout 0 -run '^TestRandomReplacements$$' ./platform -args -replacements.seed=$(SEED) -replacements.seeds=$(SEEDS)

bench:
	go test -run '^$$' -bench . -benchmem ./...
	go run ./internal/tool/latency

bench-sizing:
	go test -count=1 -timeout 280s -run TestSizingTable -v ./internal/budget -sizing

COMMIT = $(shell git rev-parse --short HEAD)

capacity:
	go run ./internal/tool/capacity -output docs/capacity.json -commit $(COMMIT)
bench-policy:
	go run ./internal/bench/policy
