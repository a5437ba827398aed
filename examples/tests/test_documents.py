"""The documents match the code, and commands and public names describe themselves."""

import re
import shlex
from pathlib import Path

import pytest

import buckthornstile
from buckthornstile.base import ErrorCode, get_http_status
from buckthornstile.commands import main
from buckthornstile.commands._main import COMMANDS, find_command

ROOT = Path(__file__).parents[2]
DOCUMENTS = [
    path
    for path in [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]
    if path.name != "SETTINGS.md"
]
COMMAND_PATTERN = re.compile(r"python -m buckthornstile ([^`\n]+)")
TARGET_PATTERN = re.compile(r"(?:^|`)make (?:[A-Z]+=\S+ )*([a-z-]+)", re.MULTILINE)
LINK_PATTERN = re.compile(r"\]\(([^)#:]+)\)")
VERDICTS = {"not_run", "may_have_run", "either"}


@pytest.mark.parametrize("path", DOCUMENTS, ids=lambda path: path.name)
def test_documented_commands_targets_and_links_exist(path):
    text = path.read_text()
    for command in COMMAND_PATTERN.findall(text):
        words = shlex.split(command, comments=True)
        name = find_command(words)
        assert name in COMMANDS or words[0] in ("--help", "config", "keys"), command
    makefile = (ROOT / "Makefile").read_text()
    for target in TARGET_PATTERN.findall(text):
        assert re.search(rf"^{target}:", makefile, re.MULTILINE), target
    for link in LINK_PATTERN.findall(text):
        assert (path.parent / link).exists(), link


def test_every_error_code_is_documented():
    text = (ROOT / "docs" / "API.md").read_text()
    rows = re.findall(r"^\| `([a-z_.]+)` \| (\d+) \| (\w+) \| .+ \|$", text, re.M)
    documented = {code: int(status) for code, status, _ in rows}
    assert documented == {code.value: get_http_status(code) for code in ErrorCode}
    assert {verdict for _, _, verdict in rows} <= VERDICTS


def test_every_command_has_help(capsys):
    for name in COMMANDS:
        assert main([*name.split(), "--help"]) == 0
        assert f"usage: buckthornstile {name}" in capsys.readouterr().out


def test_public_names_have_doc_comments():
    for name in set(buckthornstile.__all__) - {"__version__"}:
        assert getattr(buckthornstile, name).__doc__, name
