TEST_TIMEOUT = 8m

.PHONY: build test lint fmt bench bench-policy soak capacity

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
