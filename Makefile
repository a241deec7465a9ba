.PHONY: build test lint generate demo faults overload capacity soak

MODULES := core crocusctl crocusd crocusfake platform

build:
	mkdir -p bin
	go build -o bin/ ./crocusd ./crocusctl ./crocusfake

generate:
	go build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	go build -o bin/stringer golang.org/x/tools/cmd/stringer
	PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=core/encoder --go_opt=paths=source_relative -I core/encoder core/encoder/messages.proto
	PATH="$(CURDIR)/bin:$$PATH" go generate $(foreach m,$(MODULES),./$(m)/...)

lint:
	for m in $(MODULES); do (cd $$m && golangci-lint run ./...) || exit 1; done

test:
	bash .ci/run

demo: build
	bin/crocusfake demo

# Mixed load under a seeded schedule of faults; exits non-zero on a breach.
SEED ?= 1
faults: build
	bin/crocusfake faults --seed $(SEED)

overload: build
	bin/crocusfake overload

capacity: build
	bin/crocusfake capacity

# Longer runs over many seeds: nodes of the users' platform, then nodes with the
# project's own interfaces.
SEEDS ?= 50
soak: build
	bin/crocusfake soak --seed $(SEED) --seeds $(SEEDS)
	for seed in $$(seq 1 20); do bin/crocusfake faults --seed $$seed || exit 1; done
