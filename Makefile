# Every command makes its own environment from the pinned requirements.
ROOT := $(dir $(abspath $(lastword $(MAKEFILE_LIST))))
PYTHON ?= python3
VENV ?= $(ROOT).venv
RUN := cd $(ROOT) && PYTHONPATH=$(ROOT) $(VENV)/bin
STAMP := $(VENV)/.requirements-installed
JOBS ?= 6
PYTEST_FLAGS ?=
SEEDS ?= 10
DAY ?=
STEPS ?= 1000000

.PHONY: environment demo test lint format bench-path experiment fuzz walks soak

$(STAMP): $(ROOT)requirements.txt $(ROOT)requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check \
		-r $(ROOT)requirements-dev.txt
	touch $@

environment: $(STAMP)

lint: $(STAMP)
	$(RUN)/ruff format --check .
	$(RUN)/ruff check .
	$(RUN)/mypy

format: $(STAMP)
	$(RUN)/ruff format .
	$(RUN)/ruff check --fix .

test: lint
	$(RUN)/python -m pytest -n $(JOBS) $(PYTEST_FLAGS)

demo: $(STAMP)
	@$(RUN)/python -m examples.demo

bench-path: $(STAMP)
	$(RUN)/python -m benchmarks.path

fuzz: $(STAMP)
	$(RUN)/python -m benchmarks.fuzz

walks: $(STAMP)
	$(RUN)/python -m benchmarks.walks --steps $(STEPS)

soak: $(STAMP)
	$(RUN)/python -m soak --seeds $(SEEDS) --jobs 2

experiment: $(STAMP)
	$(RUN)/python -m benchmarks.experiment $(DAY)
