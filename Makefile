MODULES = dandelionhoist.example/...
SOURCES = $(wildcard $(shell git ls-files '*.go' | grep -vE '^dh/dhpb/|_string\.go$$'))

.PHONY: test race lint format generate tools programs run

# Tests that KNOWN-RED.txt lists are printed and skipped.
SKIP = $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')

# Tests of processes under abusive clients run one at a time, apart from all others. Their
# processes are built without the race detector.
ALONE = ^TestCrowds$$

test:
	@sed -n 's/^test: */known red, skipped: /p' KNOWN-RED.txt 2>/dev/null || true
	go test -timeout 20m -skip '$(ALONE)$(if $(SKIP),|$(SKIP))' $(MODULES)
	go test -timeout 20m -run '$(ALONE)' dandelionhoist.example/cmd/dandelionhoistd

race:
	go test -race -timeout 30m -skip '$(ALONE)$(if $(SKIP),|$(SKIP))' $(MODULES)

tools: bin/gofumpt bin/gopls

bin/gofumpt: tools/go.mod
	GOWORK=off go -C tools build -o ../bin/ tool

# gopls renames identifiers over the whole workspace: gopls rename -w FILE:LINE:COLUMN NAME.
bin/gopls: tools/gopls/go.mod
	GOWORK=off go -C tools/gopls build -o ../../bin/ tool

bin/buf: tools/buf/go.mod
	GOWORK=off go -C tools/buf build -o ../../bin/ tool

lint: bin/gofumpt
	@test -z "$$(bin/gofumpt -l $(SOURCES))" || { bin/gofumpt -l $(SOURCES); echo "run make format"; exit 1; }
	bin/revive -config revive.toml -set_exit_status -exclude ./dh/dhpb/... ./dh/... ./cmd/... ./platform/...
	go vet $(MODULES)

format: bin/gofumpt
	bin/gofumpt -w $(SOURCES)

generate: tools bin/buf
	bin/buf generate
	cd dh && go generate ./...

BIN = bin

programs:
	go build -o $(BIN)/ dandelionhoist.example/cmd/...

# Three entry VMs, simulated backend servers and the load generator on loopback.
run: programs
	scripts/run-local.sh $(BIN)

# Measures all slopes again and computes docs/CAPACITY.md from them.
.PHONY: capacity
capacity:
	go test ./dh/dhcapacity -run 'TestCollect$$' -collect . -v -count 1 -timeout 30m
	go test ./dh/dhcapacity -update
