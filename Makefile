VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
MESH ?= lakeshore
export PYTHONPATH := $(CURDIR)/src
export UV_USE_IO_URING := 0

.PHONY: setup demo test lint format bench

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
		--editable .
	touch $@

demo: setup
	$(BIN)/python -m eelgrasswalk.cli.bench demo --mesh $(MESH)

test: setup
	$(BIN)/python tools/run_tests.py

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 src tests tools
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: setup
	mkdir -p out
	for name in latency overload quota control chaos replay; do \
		$(BIN)/python -m eelgrasswalk.cli.bench $$name --quick --json \
			| tail -n 1 > out/$$name.json || exit 1; \
	done
