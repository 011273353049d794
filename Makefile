PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/magnoliawood packages/magnoliawood-server \
	packages/magnoliawood-cli packages/magnoliawood-testing

.PHONY: setup demo test lint format bench

setup: $(STAMP)

$(STAMP): requirements.txt $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--requirement requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(PACKAGES:%=--editable %)
	touch $(STAMP)

demo: setup
	$(BIN)/python -m magnoliawood_testing.demo
	$(BIN)/python -m magnoliawood_testing.hosted_demo

.PHONY: serve docs
serve: setup
	$(BIN)/python -m magnoliawood_testing.serve --env-file .serve/env

docs: setup
	$(BIN)/python bin/make_settings_reference.py
	$(BIN)/python bin/make_openapi.py

test: setup
	$(BIN)/python bin/run_tests.py

lint: setup
	$(BIN)/ruff format --check packages bin
	$(BIN)/ruff check packages bin
	$(BIN)/flake8 packages bin
	$(BIN)/mypy
	$(BIN)/python bin/check_imports.py
	$(BIN)/python bin/make_settings_reference.py --check
	$(BIN)/python bin/make_openapi.py --check
	$(BIN)/python bin/check_metrics_page.py

format: setup
	$(BIN)/ruff check --fix-only --quiet packages bin
	$(BIN)/ruff format packages bin

.PHONY: capacity
capacity: setup
	$(BIN)/python -m magnoliawood_testing.capacity

bench: setup
	$(BIN)/python -m magnoliawood_testing.load.bench
