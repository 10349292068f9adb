PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := marigoldarch marigoldarch-node marigoldarch-cli marigoldarch-fakes

.PHONY: setup demo test lint format bench capacity settings-page fuzz bench-decisions bench-serving bench-sharing soak

setup: $(VENV)/.stamp

$(VENV)/.stamp: constraints.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt setuptools wheel black ruff nose2 hypothesis rope tomli-w trustme
	$(BIN)/pip install --quiet --no-build-isolation -c constraints.txt $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

demo: setup
	$(BIN)/python -m marigoldarch_fakes.demo

test: setup
	$(BIN)/python tools/run_tests.py

lint: setup
	$(BIN)/black --check --quiet packages platform tools
	$(BIN)/ruff check packages platform tools

format: setup
	$(BIN)/ruff check --fix packages platform tools
	$(BIN)/black --quiet packages platform tools

bench: setup
	$(BIN)/python -m marigoldarch_fakes.bench

capacity: setup
	$(BIN)/python -m marigoldarch_fakes.capacity

settings-page: setup
	$(BIN)/python -m marigoldarch_node.config.page docs/user-guide/settings.md

# Runs each Hypothesis state machine, or just MACHINE, for about STEPS rules, and prints the command
# that replays a failure.
SEED ?= 1
STEPS ?= 20000
fuzz: setup
	$(BIN)/python -m marigoldarch.tests.fuzz.run $(SEED) $(STEPS) $(MACHINE)

bench-decisions: setup
	$(BIN)/python -m marigoldarch_fakes.bench.decisions

# Simulates the placement policies under load patterns, then measures the processor time of placement
# decisions; both reports go to reports/serving.txt. The order of waiting requests: reports/fairness.txt.
bench-serving: setup
	$(BIN)/python -m marigoldarch_fakes.serving_bench > reports/serving.txt
	$(BIN)/python -m marigoldarch_fakes.serving_bench.costs >> reports/serving.txt
	$(BIN)/python -m marigoldarch_fakes.serving_bench.fairness > reports/fairness.txt

# Compares what entries tell each other of their requests, from 9 to 520 entries.
bench-sharing: setup
	$(BIN)/python -m marigoldarch_fakes.serving_bench.sharing > reports/sharing.txt

FIRST ?= 1
COUNT ?= 50
KEEP ?=

soak: setup
	cd platform && ../$(BIN)/python -m tests.soak --first $(FIRST) --count $(COUNT) --keep "$(KEEP)"
