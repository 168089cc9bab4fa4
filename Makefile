# Every target does all of its own set-up; nothing else has to be installed first.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core wire stores control serving entry sidecar testing cli
STAMP := $(VENV)/.installed
TOOLS := hatchling editables pytest pytest-trio syrupy hypothesis mypy ruff black trustme

.PHONY: setup demo test check format clean

setup: $(STAMP)

$(STAMP): constraints.txt Makefile $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt $(TOOLS)
	$(BIN)/python -m pip install --quiet -c constraints.txt --no-build-isolation \
		$(foreach package,$(PACKAGES),-e packages/$(package))
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/sassafrastally demo

test: $(STAMP)
	$(BIN)/python -m pytest $(PYTEST_OPTIONS)

check: $(STAMP)
	$(BIN)/black --check --quiet packages
	$(BIN)/ruff check packages
	$(BIN)/mypy $(foreach package,$(PACKAGES),packages/$(package)/src)

format: $(STAMP)
	$(BIN)/black --quiet packages
	$(BIN)/ruff check --fix packages

clean:
	rm -rf $(VENV)
