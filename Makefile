# Tools are pinned here and in tools/, apart from the go.mod of the product.
LINT = go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: all test check format generate generated bench

all:
	go build -o magnolialever .

# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt may fail.
test:
	@go build -C tools/testrun -o "$$(go env GOCACHE)/magnolialever-testrun" . && "$$(go env GOCACHE)/magnolialever-testrun"

# Checks format, vet and linter.
check:
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	go vet ./...
	$(LINT) run ./...

format:
	$(LINT) fmt ./...

# Regenerates the committed code; needs protoc.
generate:
	./.ci/generate

# Fails when the committed generated code is not current.
generated: generate
	git diff --exit-code -- llmapi opsapi wire

bench:
	go test -run '^$$' -bench . -benchtime 200ms ./...
