GO ?= go

.PHONY: build demo test check review

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bin/carawaylab demo -binary bin/carawayrack

test:
	GO=$(GO) .ci/test

# Takes some 20 minutes.
review:
	.ci/review

check:
	test -z "$$(gofmt -l .)"
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
