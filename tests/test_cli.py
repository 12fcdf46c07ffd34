"""The command line: exit codes, what is printed, and what is never written over."""

import json

import pytest
from click.testing import CliRunner
from config.files import GOOD

from rainpier.cli.main import main
from rainpier.config.codes import CODES


@pytest.fixture
def run(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    return lambda *words, **more: CliRunner().invoke(main, list(words), **more)


def test_check_ends_with_0_1_or_2(run, tmp_path):
    (tmp_path / "good.toml").write_text(GOOD)
    (tmp_path / "bad.toml").write_text(GOOD.replace("slots = 32", "slost = 32"))
    (tmp_path / "none").mkdir()
    assert run("check", "good.toml").exit_code == 0
    done = run("check", "bad.toml")
    assert (
        done.exit_code == 1
        and "bad.toml:16:1: error[E103]" in done.output
        and "did you mean 'slots'?" in done.output
    )
    for words in (("nosuch.toml",), ("good.toml", "nosuch.toml"), ("none",), ()):
        assert run("check", *words).exit_code == 2, words
    (tmp_path / "latin.toml").write_bytes(b'x = "\xe9"')
    assert "E100" in run("check", "latin.toml").output


def test_check_of_a_folder_compares_its_files(run, tmp_path):
    (tmp_path / "a.toml").write_text(GOOD)
    (tmp_path / "b.toml").write_text(GOOD)
    done = run("check", ".")
    assert (
        done.exit_code == 1
        and "see a.toml:" in done.output
        and "E601" in done.output
        and "E602" in done.output
    )


def test_check_for_tools(run, tmp_path):
    (tmp_path / "bad.toml").write_text(GOOD.replace('effect = "unsafe"', 'effect = "safe"'))
    done = run("check", "--format", "json", "bad.toml")
    (row,) = [row for row in json.loads(done.output) if row["severity"] == "error"]
    assert done.exit_code == 1 and row["code"] == "E202" and row["line"] == 42 and row["column"] == 10
    assert row["related"] == [{"file": "bad.toml", "line": 41}]


def test_every_code_is_explained_and_an_unknown_one_gets_a_near_one(run):
    for code, (title, _) in CODES.items():
        done = run("check", "--explain", code.lower())
        assert done.exit_code == 0 and title in done.output and len(done.output.splitlines()) >= 3
    assert run("check", "--explain", "E2O5").exit_code == 2


def test_init_by_options_writes_what_passes_and_not_over_a_file(run, tmp_path):
    words = ("init", "shop", "--class", "order:keyed:2s:60s:video", "--class", "charge:unsafe",
             "--destination", "partner=4@20/min,10.0.0.1:80,10.0.0.2:80", "--sink", "10.0.0.9:80")  # fmt: skip
    assert run(*words).exit_code == 0 and run("check", "shop.toml").exit_code == 0
    before = (tmp_path / "shop.toml").read_text()
    assert "number = 4" in before and 'key = "video"' in before and 'kind = "http"' in before
    assert run(*words).exit_code == 2 and (tmp_path / "shop.toml").read_text() == before
    assert run(*words, "--force", "--listen", "127.0.0.1:1").exit_code == 0
    assert run("init", "x", "-o", "-").output.startswith("# Configuration of the rainpier sidecar for x.")


def test_init_knows_amqp_on_both_sides(run, tmp_path):
    words = ("init", "films", "--amqp", "127.0.0.1:5672", "--destination", "jobs=1@50/s,amqp:10.0.0.3:5672",
             "--destination", "web=2@50/s,10.0.0.4:80")  # fmt: skip
    assert run(*words).exit_code == 0
    assert run("check", "films.toml").exit_code == 0
    shown = run("show", "films.toml").output
    assert 'listen = "127.0.0.1:5672"' in shown and 'protocol = "amqp"' in shown
    assert shown.count('kind = "broker"') == 2 and shown.count('kind = "single"') == 2
    mixed = run("init", "x", "--destination", "jobs=1@50/s,amqp:10.0.0.3:5672,10.0.0.4:80")
    assert mixed.exit_code == 2 and "two destinations" in mixed.output


@pytest.mark.parametrize("words", [
    ("Shop",), ("a", "--amqp", "5672"), ("a", "--class", "x:odd"), ("a", "--class", "x:safe:2"), ("a", "--destination", "x=y,1.1.1.1:1"),
    ("a", "--destination", "x=1,nohost:1"), ("a", "--listen", "6379"), ("a", "--body", "2"), ("a", "--sink", "x"),
])  # fmt: skip
def test_init_refuses_what_it_can_not_write(run, tmp_path, words):
    done = run("init", *words)
    assert done.exit_code == 2 and len(done.output.strip().splitlines()) == 1 and not list(tmp_path.iterdir())


def test_init_by_questions_asks_again_until_it_can_be_read(run, tmp_path):
    answers = [
        "render",
        "keyed",
        "1 parsec",
        "60 s",
        "video",
        "n",
        "Thumbs!",
        "thumbs",
        "nowhere",
        "10.0.0.1:80",
        "5/s",
        "n",
    ]
    done = run("init", "shop", "--ask", input="\n".join(answers) + "\n")
    assert done.exit_code == 0, done.output
    text = (tmp_path / "shop.toml").read_text()
    assert (
        "[class.render]" in text
        and 'key = "video"' in text
        and "[destination.thumbs]" in text
        and 'rate = "5/s"' in text
    )
    assert run("check", "shop.toml").exit_code == 0


def test_show_of_a_bad_file_prints_its_mistakes(run, tmp_path):
    (tmp_path / "bad.toml").write_text("version = 1\n")
    done = run("show", "bad.toml")
    assert done.exit_code == 1 and "E107" in done.output


def test_status_without_a_sidecar_is_one_line(run, tmp_path):
    (tmp_path / "good.toml").write_text(GOOD)
    done = run("status", "-c", "good.toml")
    assert done.exit_code == 1 and "no sidecar answers" in done.output
