# Everything that a fresh machine with Python 3.11 needs: `make demo` and `make test`.
PYTHON ?= python3
BIN := .venv/bin
WORKERS ?= 6
PACKAGES := core node ctl bench

.PHONY: install demo test check format

install: .venv/installed

.venv/installed: requirements.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps $(foreach p,$(PACKAGES),--editable packages/$(p))
	touch .venv/installed

demo: install
	$(BIN)/python -m endivewick_bench.demo

test: check
	$(BIN)/python -m pytest -n $(WORKERS)
	$(BIN)/python -m pytest -n 0 -m alone

check: install
	$(BIN)/black --quiet --check packages platform tests
	$(BIN)/ruff check --quiet packages platform tests
	$(BIN)/mypy packages/core/src packages/node/src packages/ctl/src packages/bench/src platform

format: install
	$(BIN)/black packages platform tests
	$(BIN)/ruff check --fix packages platform tests
