# Common development commands. Each creates .venv on first use.
PYTHON ?= python3
# Fixes the iteration order of sets, so that replays are deterministic.
export PYTHONHASHSEED := 0
BIN := .venv/bin
DEPLOYMENT ?= cerimonia
PACKAGES := packages/coordination packages/model packages/http packages/standins \
	packages/entry packages/operator packages/measure packages/gateway platform

# Random seed of the faults of `make soak`, and how long they last, in seconds.
SEED ?= 1
DURATION ?= 30

# Experiment that `make experiment` runs.
FILE ?= examples/experiments/far-regions.ini

# Experiment that `make model` runs; OPTIONS="--seed 7" replays one seed.
LIMITS ?= examples/experiments/limits.ini
OPTIONS ?=

.PHONY: run test lint format bench measure capacity experiment model soak

run: .venv/installed
	$(BIN)/plantainshed demo --deployment=$(DEPLOYMENT)

test: .venv/installed
	$(BIN)/python -m nose2 -s tests -t . --log-level ERROR

soak: .venv/installed
	$(BIN)/python -m tests.platform.soak --seed=$(SEED) --duration=$(DURATION)

lint: .venv/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: .venv/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

.venv/installed: requirements.txt $(PACKAGES:%=%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps $(PACKAGES:%=-e ./%)
	touch $@

measure: .venv/installed
	$(BIN)/python -m plantainshed_measure

experiment: .venv/installed
	$(BIN)/python -m plantainshed_measure.experiment --file=$(FILE)

model: .venv/installed
	$(BIN)/python -m plantainshed_measure.limits_search --file=$(LIMITS) $(OPTIONS)

traces: .venv/installed
	$(BIN)/python -m plantainshed_measure.make_traces

bench: .venv/installed
	$(BIN)/python -m plantainshed_measure.bench

capacity: .venv/installed
	$(BIN)/python -m plantainshed_measure.capacity
