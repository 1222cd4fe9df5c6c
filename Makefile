VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format features clean

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/crocusvalve demo

lint: $(STAMP)
	$(BIN)/black --check --quiet crocusvalve features tools
	$(BIN)/ruff check --quiet crocusvalve features tools

format: $(STAMP)
	$(BIN)/black --quiet crocusvalve features tools
	$(BIN)/ruff check --fix --quiet crocusvalve features tools

features: $(STAMP)
	$(BIN)/python tools/run_features.py

test: lint features

clean:
	rm -rf $(VENV) out
