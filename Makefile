# make demo   builds and runs the whole path on loopback
# make check  format, lint, build with warnings as errors, all tests plain and under sanitizers
# make bench  runs every experiment
# make soak   random faults against gateway processes; SEED=N RUNS=N
.PHONY: soak demo check test lint bench install format build-release build-sanitize

install:
	.ci/install

build-release: install
	cmake --preset release > /dev/null
	cmake --build --preset release

build-sanitize: install
	cmake --preset sanitize > /dev/null
	cmake --build --preset sanitize

lint: build-release
	.ci/lint

test: build-release build-sanitize
	tests/run.py build/release build/sanitize

check: lint test

soak: build-release
	build/release/bin/endivelever-soak --seed=$(or $(SEED),1) --runs=$(or $(RUNS),1)

demo: build-release
	build/release/bin/endivelever-experiment demo

bench: build-release
	bench/run all

format:
	git ls-files -z --cached --others --exclude-standard -- '*.cpp' '*.hpp' ':!schema/generated' | xargs -0 clang-format -i
