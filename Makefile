PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(sort $(wildcard libraries/*)) bench
EDITABLE := $(foreach package,$(PACKAGES),-e ./$(package))

.PHONY: setup test lint format run bench generate

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(foreach package,$(PACKAGES),$(package)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(EDITABLE)
	touch $@

test: setup
	$(BIN)/python -m tests

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check --quiet .
	$(BIN)/flake8 libraries platform bench tests
	MYPYPATH=platform $(BIN)/mypy $(foreach package,$(PACKAGES),$(wildcard $(package)/plantainstand_*)) platform/plantainstand_platform tests

format: setup
	$(BIN)/ruff check --quiet --fix .
	$(BIN)/ruff format .

run: setup
	$(BIN)/plantainstand-load --deployment bench/deployments/trefila.jsonc \
	  --faults bench/deployments/trefila-drains.jsonc --load-factor 0.6 --seed 1 --out out/run \
	  --daemon $(BIN)/plantainstandd --control $(BIN)/plantainstandctl

bench: setup
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m plantainstand_bench

generate: setup
	$(BIN)/pip install --quiet -r requirements-generate.txt
	cd libraries/protocol && PATH="../../$(BIN):$$PATH" ../../$(BIN)/python -m grpc_tools.protoc -I. \
	  --python_out=. --mypy_out=. --grpclib_python_out=. \
	  plantainstand_protocol/steering.proto
