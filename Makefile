# Developer entry points. Each target installs what it needs (as root on Debian 12) and builds first.
BUILD ?= build
JOBS ?= $(shell nproc)
SEED ?= 1
SECONDS_LIMIT ?= 20
SECONDS ?= $(SECONDS_LIMIT)
# Objects are shared between checkouts and survive a clean build. Paths in them are relative.
export CMAKE_CXX_COMPILER_LAUNCHER ?= ccache
export CCACHE_BASEDIR ?= $(CURDIR)
export CCACHE_NOHASHDIR ?= 1

.PHONY: all deps build test lint format sanitize bench bench-time soak process-soak demo generate clean

all: build

deps:
	@tools/install-deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja $(CMAKE_ARGS) > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@cd $(BUILD) && ctest --output-on-failure -j 4

lint: build
	@tools/lint $(BUILD)

format:
	@git ls-files '*.cpp' '*.h' ':!*/generated/*' | xargs clang-format -i

# Renews the committed Cap'n Proto code after a change of a schema; needs capnp 0.9.2.
generate:
	@cd src/wire && capnp compile -oc++:generated messages.capnp
	@cd src/store && capnp compile -oc++:generated store.capnp

sanitize: deps
	@$(MAKE) --no-print-directory test BUILD=build-asan CMAKE_ARGS="-DSANITIZE=address,undefined"
	@$(MAKE) --no-print-directory test BUILD=build-tsan CMAKE_ARGS="-DSANITIZE=thread"

bench: build
	@tools/bench $(BUILD)

bench-time: build
	@tools/bench-time $(BUILD)

soak: build
	@$(BUILD)/bin/soak --seed $(SEED) --seconds $(SECONDS)

# Real programs as separate processes, with faults from outside.
process-soak: build
	@$(BUILD)/bin/process_soak --programs $(BUILD)/bin --folder $(BUILD)/process-soak --seed $(SEED) --seconds $(SECONDS)

demo: build
	@tools/demo $(BUILD)

clean:
	@rm -rf build build-asan build-tsan
