# Two commands for a fresh machine: `make demo` and `make test`. Both set up .venv by themselves.
MESSAGES ?= 1000
# Of this kind of machine: an environment that was made on another kind is made anew.
READY = .venv/ready-$(shell uname -m)

.PHONY: demo test reference clean

$(READY): pyproject.toml requirements.txt
	python3 -m venv --clear .venv
	.venv/bin/pip install -q -r requirements.txt -e '.[test]'
	{ uname -m; cat requirements.txt; } > .venv/built
	touch $@

demo: $(READY)
	.venv/bin/rainpier demo --messages $(MESSAGES)

test: $(READY)
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/python -m compileall -q --invalidation-mode checked-hash rainpier
	.venv/bin/python -m pytest -q

reference: $(READY)
	.venv/bin/rainpier reference > docs/reference/configuration.md

clean:
	rm -rf .venv
