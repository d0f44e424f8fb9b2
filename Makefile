VENV ?= .venv
PYTHON ?= python3
LOCK = requirements-test.lock
SOURCES = fuchsiahaven standins bench tools tests
BIN = $(VENV)/bin

.PHONY: setup format format-check lint type unit test build demo soak clean

# The check compares installed versions with the lock, so a complete
# environment is used as it is and a stale one is brought up to date.
setup:
	@test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	@$(BIN)/python tools/check_lock.py $(LOCK) || \
		{ $(BIN)/python -m pip install --quiet -r $(LOCK) && \
		$(BIN)/python tools/check_lock.py $(LOCK); }

format: setup
	$(BIN)/ruff format $(SOURCES)

format-check: setup
	$(BIN)/ruff format --check $(SOURCES)

lint: setup
	$(BIN)/flake8 -j 4 $(SOURCES)

type: setup
	$(BIN)/mypy

# One word, with the equals sign: before pytest has read tests/conftest.py it
# would take a file named by a second word for the tests to run.
unit: setup
	$(BIN)/python -m pytest --known-red=KNOWN-RED.txt

test: format-check lint type unit

build: setup
	$(BIN)/python tools/build_archive.py dist/fuchsiahaven
	$(PYTHON) -I -S tools/check_archive.py dist/fuchsiahaven
	$(PYTHON) -I -S dist/fuchsiahaven --version

demo: setup
	$(BIN)/python -m bench.demo

clean:
	rm -rf build dist .mypy_cache .pytest_cache .ruff_cache .hypothesis

# A soak by hand: make soak SEEDS="1 2 3" SECONDS=60
SEEDS ?= 1
SECONDS ?= 20
soak: setup
	$(BIN)/python -m bench.soak $(addprefix --seed ,$(SEEDS)) --seconds $(SECONDS)
