VENV ?= .venv
PYTHON ?= python3

.PHONY: demo test setup lint format generate

demo: setup
	$(VENV)/bin/python -m borageyard demo

test: setup
	$(VENV)/bin/python -m pytest

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check --require-hashes -r requirements.lock
	$(VENV)/bin/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

format: setup
	$(VENV)/bin/ruff check --fix-only -q borageyard tests
	$(VENV)/bin/ruff format -q borageyard tests

lint: setup
	$(VENV)/bin/ruff format --check borageyard tests
	$(VENV)/bin/ruff check borageyard tests
	$(VENV)/bin/flake8 borageyard tests
	$(VENV)/bin/mypy

generate: setup
	VENV=$(VENV) .ci/generate
