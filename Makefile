# agateturn: build, test, demo. `make help` lists the targets.
SHELL := /bin/bash
DEPLOYMENT ?= agency
TOOL := go tool -modfile=tools/go.mod
GOLANGCI := $(shell go env GOPATH)/bin/golangci-lint
GOFUMPT := $(shell go env GOPATH)/bin/gofumpt
GOLANGCI_VERSION := v2.15.0
GOFUMPT_VERSION := v0.12.0


.PHONY: help build demo demo-jobs soak up bench capacity test lint fmt generate check-generated linters fresh
help: ## list the targets
	@grep -hE '^[a-z-]+:.*##' Makefile | sed -E 's/:.*## /\t/'

build: ## build the three programs into bin/
	go build -o bin/ ./cmd/...

demo: build ## run a deployment end to end on loopback; DEPLOYMENT=agency or brenaz
	scripts/demo.sh $(DEPLOYMENT)

demo-jobs: build ## run jobs on loopback: three entry hosts, one of them killed; about 30 seconds
	scripts/demo-jobs.sh

SEED ?= 1
MODE ?= jobs,requests
MINUTES ?= 0
HOSTS ?= 0
WORKERS ?= 0
RATE ?= 0
soak: build ## inject faults into real processes; SEED=n or n..m, MODE=jobs, requests, cuts, takeovers or refusals, MINUTES=m, HOSTS=n, WORKERS=n, RATE=n a second
	bin/agateturn-standin soak --seeds $(SEED) --mode $(MODE) --minutes $(MINUTES) --hosts $(HOSTS) --workers $(WORKERS) --rate $(RATE)

up: build ## start a deployment on loopback and keep it until Ctrl-C; DEPLOYMENT=agency or brenaz
	scripts/up.sh $(DEPLOYMENT)

capacity: build ## measure the cost of the control plane at several sizes and write docs/capacity.*; takes about 20 minutes
	scripts/capacity.sh all

test: ## run all tests with the race detector
	go test -race -count=1 -timeout=20m $(PASS_OVER) $$(go list ./... | grep -v /proofs)
	go test -race -count=1 $(PASS_OVER) ./proofs # real processes: no other tests run at the same time

bench: build ## compare the decisions with baselines, seeded, in virtual time
	bin/agateturn-bench slots
	bin/agateturn-bench moves

fresh: ## run the two set-up commands of the README in a clean clone of HEAD
	@clone=$$(mktemp -d) && trap 'rm -rf "$$clone"' EXIT && git clone -q . "$$clone/agateturn" && \
	$(MAKE) --no-print-directory -C "$$clone/agateturn" demo test

linters: ## install the formatter and the linter
	@test -x $(GOLANGCI) || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	@test -x $(GOFUMPT) || go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)

lint: linters ## check format, vet and lint
	@off=$$($(GOFUMPT) -l $$(git ls-files '*.go' ':!:gen/*')); test -z "$$off" || { echo "not formatted:"; echo "$$off"; exit 1; }
	go vet ./...
	$(GOLANGCI) run ./...

fmt: linters ## format the code
	$(GOFUMPT) -w $$(git ls-files '*.go' ':!:gen/*')

generate: ## generate code, reference pages and examples from the schema
	$(TOOL) buf lint
	$(TOOL) buf generate
	go test ./settings ./events ./questionnaire -count=1 -run 'Reference|Examples' -update

GENERATED = find gen docs/CONFIGURATION.md docs/EVENTS.md examples -type f | sort | xargs sha256sum
check-generated: ## fail if committed code, reference pages or examples are not current
	@before=$$($(GENERATED)); $(MAKE) --no-print-directory generate; after=$$($(GENERATED)); \
	test "$$before" = "$$after" || { echo "generated files are not current; run make generate and commit:"; \
	diff <(echo "$$before") <(echo "$$after") | sed -n 's/^[<>] *[0-9a-f]* */  /p' | sort -u; exit 1; }
