PYTHON ?= python3
VENV ?= .venv
RUN = $(VENV)/bin/python
# Half of the cores, for some tests start processes of their own or measure time.
TEST_WORKERS ?= $(shell n=$$(( $$(nproc) / 2 )); echo $$(( n > 1 ? n : 1 )))

.PHONY: setup demo test check measure slopes

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[dev]'
	touch $@

demo: setup
	$(RUN) -m tools.demo

test: setup
	$(RUN) -m pytest -q -n $(TEST_WORKERS) --max-worker-restart 0 $(PYTEST_OPTIONS)

check: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	PYTHONPATH=.:platform $(VENV)/bin/lint-imports

measure: setup
	$(RUN) -m tools.measure

slopes: setup
	$(RUN) -m tools.slopes
