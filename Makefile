VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/kernel packages/control packages/router packages/edge packages/ctl platform

.PHONY: install demo test lint format typecheck bench model soak proto clean

install: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $(STAMP)

demo: install
	$(BIN)/python -m scripts.demo

test: install
	$(BIN)/python -m tests

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

typecheck: install
	$(BIN)/mypy

bench: install
	COMMIT=$$(git rev-parse HEAD) $(BIN)/python -m bench

model: install
	$(BIN)/python -m model

SOAK ?= --fresh 10

soak: install
	$(BIN)/python -m soak $(SOAK)

proto: install
	$(BIN)/python -m grpc_tools.protoc -I packages/kernel \
	    --python_out=packages/kernel --pyi_out=packages/kernel \
	    --grpc_python_out=packages/kernel \
	    packages/kernel/mulberryrelay_kernel/peerproto/peer.proto

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache
