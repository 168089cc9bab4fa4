# Every target does all of its own set-up; nothing else has to be installed first.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/core packages/wire packages/stores packages/control packages/proxy packages/serving \
	packages/entry packages/sidecar packages/testing packages/cli platform platform/stand_ins
STAMP := $(VENV)/.installed
# Most tests wait for sockets and processes, so that more workers than five don't need more processors.
TEST_WORKERS ?= 6
TOOLS := hatchling editables pytest pytest-trio pytest-xdist syrupy hypothesis mypy ruff black trustme

.PHONY: setup demo test check format clean

setup: $(STAMP)

$(STAMP): constraints.txt Makefile $(wildcard packages/*/pyproject.toml platform/pyproject.toml platform/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt $(TOOLS)
	$(BIN)/python -m pip install --quiet -c constraints.txt --no-build-isolation \
		$(foreach package,$(PACKAGES),-e $(package))
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/sassafrastally demo

test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist worksteal $(PYTEST_OPTIONS)

check: $(STAMP)
	$(BIN)/black --check --quiet packages platform
	$(BIN)/ruff check packages platform
	$(BIN)/mypy $(foreach package,$(PACKAGES),$(package)/src)

format: $(STAMP)
	$(BIN)/black --quiet packages platform
	$(BIN)/ruff check --fix packages platform

clean:
	rm -rf $(VENV)
