PYTHON ?= python3
VENV ?= .venv
RUN = $(VENV)/bin/python

.PHONY: setup demo test check measure slopes

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[dev]'
	touch $@

demo: setup
	$(RUN) -m tools.demo

test: setup
	$(RUN) -m pytest -q $(PYTEST_OPTIONS)

check: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	PYTHONPATH=.:platform $(VENV)/bin/lint-imports

measure: setup
	$(RUN) -m tools.measure

slopes: setup
	$(RUN) -m tools.slopes
