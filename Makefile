# agateturn: build, test, demo. `make help` lists the targets.
SHELL := /bin/bash
DEPLOYMENT ?= agency
TOOL := go tool -modfile=tools/go.mod
GOLANGCI := $(shell go env GOPATH)/bin/golangci-lint
GOFUMPT := $(shell go env GOPATH)/bin/gofumpt
GOLANGCI_VERSION := v2.15.0
GOFUMPT_VERSION := v0.12.0


.PHONY: help build demo capacity test race lint fmt generate check-generated linters ci
help: ## list the targets
	@grep -hE '^[a-z-]+:.*##' Makefile | sed -E 's/:.*## /\t/'

build: ## build the three programs into bin/
	go build -o bin/ ./cmd/...

demo: build ## run the whole path on loopback; DEPLOYMENT=agency or brenaz
	scripts/demo.sh $(DEPLOYMENT)

capacity: build ## measure what control costs at several sizes and write docs/capacity.*; takes about 20 minutes
	scripts/capacity.sh all

test: ## run all tests with the race detector
	go test -race -count=1 ./...

linters: ## install the formatter and the linter
	@test -x $(GOLANGCI) || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	@test -x $(GOFUMPT) || go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)

lint: linters ## check format, vet and lint
	@off=$$($(GOFUMPT) -l $$(git ls-files '*.go' ':!:gen/*')); test -z "$$off" || { echo "not formatted:"; echo "$$off"; exit 1; }
	go vet ./...
	$(GOLANGCI) run ./...

fmt: linters ## format the code
	$(GOFUMPT) -w $$(git ls-files '*.go' ':!:gen/*')

generate: ## generate code and reference pages from the schema
	$(TOOL) buf lint
	$(TOOL) buf generate

check-generated: ## fail if the committed generated code is not current
	@before=$$(find gen -type f | sort | xargs sha256sum); $(TOOL) buf generate; \
	after=$$(find gen -type f | sort | xargs sha256sum); \
	test "$$before" = "$$after" || { echo "generated code is not current; run make generate and commit gen/"; exit 1; }
