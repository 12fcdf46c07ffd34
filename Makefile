# Two commands for a fresh machine: `make demo` and `make test`. Both set up .venv by themselves.
MESSAGES ?= 1000

.PHONY: demo test reference clean

.venv/ready: pyproject.toml requirements.txt
	python3 -m venv --clear .venv
	.venv/bin/pip install -q -r requirements.txt -e '.[test]'
	cp requirements.txt .venv/built
	touch $@

demo: .venv/ready
	.venv/bin/rainpier demo --messages $(MESSAGES)

test: .venv/ready
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/python -m pytest -q

reference: .venv/ready
	.venv/bin/rainpier reference > docs/reference/configuration.md

clean:
	rm -rf .venv
