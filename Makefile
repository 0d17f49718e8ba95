# The environment is set up on first use; the only requirement is Python 3.11
# or newer with its venv module.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
SEED ?= 1
CODE := src standins bench tools tests

.PHONY: setup run run-platform soak event-delay serve test check unit prove prove-checks measure generate format clean

setup: $(READY)

$(READY): pyproject.toml
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(READY)

# Runs a short mixed load against separate processes; the last line is JSON.
run: $(READY)
	$(BIN)/python -m bench.run --seed=$(SEED)

# The same against stand-ins of the users' platform.
run-platform: $(READY)
	$(BIN)/python -m bench.run_platform --seed=$(SEED)

# Load and faults on the same stand-ins; compares the results of the callers
# with the requests that the replicas ran.
soak: $(READY)
	$(BIN)/python -m bench.soak --seed=$(SEED)

# Measures how long stream events take through one instance.
event-delay: $(READY)
	$(BIN)/python -m bench.event_delay

# Keeps a deployment running for manual trials; Ctrl-C stops it.
serve: $(READY)
	$(BIN)/python -m bench.serve

# Everything that CI checks.
test: check unit

check: $(READY)
	$(BIN)/ruff format --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/flake8 $(CODE)
	$(BIN)/lint-imports --no-cache
	$(BIN)/mypy

# Tests listed in KNOWN-RED.txt (lines `test: ID`) are deselected.
KNOWN_RED = $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null)

unit: $(READY)
	$(BIN)/python -m pytest $(addprefix --deselect=,$(KNOWN_RED))

# Checks the guarantees under faults; prints one JSON line for each property.
prove: $(READY)
	$(BIN)/python -m bench.prove --seed=$(SEED)

# Checks that `prove` detects instances with a broken decision.
prove-checks: $(READY)
	$(BIN)/python -m bench.prove_checks --seed=$(SEED)

# Compares routing policies by cost, tail latency and share of requests sent
# away; prints JSON lines and a table.
measure: $(READY)
	$(BIN)/python -m bench.measure --seed=$(SEED)

generate: $(READY)
	PATH="$(abspath $(BIN)):$$PATH" $(BIN)/python tools/generate.py
	$(BIN)/ruff format --quiet src

format: $(READY)
	$(BIN)/ruff check --fix --quiet .
	$(BIN)/ruff format --quiet .

clean:
	rm -rf out build .mypy_cache .ruff_cache .hypothesis
