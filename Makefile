PY := .venv/bin/python

.PHONY: run serve test check

.venv/installed: pyproject.toml
	python3 -m venv .venv
	$(PY) -m pip install --quiet --editable '.[dev]'
	touch .venv/installed

run: .venv/installed
	$(PY) -m standins.hall run
	$(PY) -m standins.platform run

serve: .venv/installed
	$(PY) -m standins.hall serve

test: .venv/installed
	$(PY) -m pytest

check: .venv/installed
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy
