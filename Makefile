# make demo   sets everything up, runs the parts and sends returning chats of both users
# make test   sets everything up and runs what CI runs: format, lint, types, all tests
# make bench  prints a JSON line for each measure
# make soak   runs the histories with many more examples, then drawn faults on real processes
# make binary builds the one file that is shipped

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEEDS ?= 50
READY := $(VENV)/ready

.PHONY: demo test bench binary soak format clean

$(READY): requirements.txt requirements-core.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt -r requirements-dev.txt
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m bench.demo

test: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy pondhatch fakes bench soak .ci
	$(BIN)/python .ci/run_tests.py

bench: $(READY)
	$(BIN)/python -m bench

soak: $(READY)
	$(BIN)/python .ci/run_tests.py --soak
	$(BIN)/python -m soak --regressions
	$(BIN)/python -m soak --seeds $(SEEDS) --minutes 0.5

binary: $(READY)
	rm -rf build && mkdir build
	$(BIN)/python -m shiv --quiet --console-script pondhatch --output-file build/pondhatch --requirement requirements.txt .

format: $(READY)
	$(BIN)/ruff format . && $(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build
