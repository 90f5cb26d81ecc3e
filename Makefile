PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
LAYOUT ?= faellesfane

.PHONY: install demo test test-all lint format bench-forward bench-slopes bench-flows bench-faults fuzz soak wire

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

bench-slopes: install
	$(RUN) -m benchmarks.slopes

bench-flows: install
	$(RUN) -m benchmarks.flows --plot docs/results/flows-faellesfane.png

bench-faults: install
	$(RUN) -m benchmarks.faults

fuzz: install
	$(RUN) -m benchmarks.fuzz_operations --operations 1000000 --seed 2
	$(RUN) -m benchmarks.fuzz_members --steps 20000 --seed 1
	$(RUN) -m benchmarks.fuzz_members --steps 20000 --seed 2 --losses 2
	HYPOTHESIS_PROFILE=long $(RUN) -m unittest tests.control.test_raft tests.operations.test_machine

soak: install
	$(RUN) -m soak --seed $${SEED:-$$(date +%s)} --minutes $${MINUTES:-2}

wire: install
	scripts/generate_wire.sh
