TEST_TIMEOUT = 8m

.PHONY: build test lint fmt bench bench-policy bench-sizing soak capacity

build:
	go build -o bin/cactusbay .

test:
	bash script/test $(TEST_TIMEOUT)

lint:
	bash script/lint

fmt:
	gofmt -w .

bench:
	go test -run '^$$' -bench . -benchmem ./...

bench-sizing:
	go test -count=1 -timeout 280s -run TestSizingTable -v ./internal/budget -sizing

COMMIT = $(shell git rev-parse --short HEAD)

capacity:
	go run ./internal/tool/capacity -output docs/capacity.json -commit $(COMMIT)
