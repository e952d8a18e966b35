# The commands a newcomer needs. Each installs what is missing and builds first.
BUILD ?= build
JOBS ?= $(shell nproc)
.PHONY: all deps build demo serve test model lint format clean

all: build

deps:
	@scripts/install-deps.sh

build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	  -DCMAKE_C_COMPILER_LAUNCHER=ccache -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

# Three daemons and their stand-ins do the work of both users, one daemon is killed, all is checked.
demo: build
	@BUILD=$(BUILD) scripts/demo.sh

# The same, left standing until interrupted: callers on 127.0.0.1:8080, caller's key "demo".
serve: build
	@BUILD=$(BUILD) scripts/serve.sh

test: build
	@cat KNOWN-RED.txt
	@ctest --test-dir $(BUILD) --output-on-failure -j 6 -E "$$(scripts/known-red.sh)"

# The core protocol's models and their mutants, checked by spin.
model: deps
	@model/check.sh

lint: build
	@BUILD=$(BUILD) scripts/lint.sh

format:
	@git ls-files '*.h' '*.cpp' | xargs clang-format -i

clean:
	@rm -rf $(BUILD)
