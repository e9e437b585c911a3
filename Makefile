# Everything installs into .venv from pinned requirements.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := $(wildcard packages/*/pyproject.toml)
FILE ?= examples/linjapartio.toml

.PHONY: install demo serve test lint bench thrift clean

install: $(STAMP)

$(STAMP): requirements.txt $(PACKAGES)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		-e packages/bronzescale-core -e packages/bronzescale-proxy \
		-e packages/bronzescale-ctl -e packages/bronzescale-standins
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bronzescale_standins.demo

serve: $(STAMP)
	@$(BIN)/python -m bronzescale_standins.serve $(FILE)

test: $(STAMP)
	$(BIN)/python -m pytest -n 4

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

bench: $(STAMP)
	$(BIN)/python -m bronzescale_standins.bench $(ARGS)

thrift:
	mkdir -p build
	thrift --gen py:slots -out build packages/bronzescale-proxy/peer.thrift
	cp build/peer/ttypes.py packages/bronzescale-proxy/src/bronzescale_proxy/thrift_gen/

clean:
	rm -rf $(VENV) build
