PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
LAYOUT ?= faellesfane

.PHONY: install demo test test-all lint format bench-forward bench-slopes bench-flows wire

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

install: $(VENV)/.installed

demo: install
	$(RUN) -m demo.run --layout $(LAYOUT)

test: install
	$(RUN) -m unittest discover --start-directory tests --top-level-directory .

lint: install
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench-forward: install
	$(RUN) -m benchmarks.forward

wire: install
	scripts/generate_wire.sh
