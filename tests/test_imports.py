"""The package has no import circles, and one folder alone knows the platform."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[1] / "buckthornstile"
PLATFORM_WORDS = re.compile(
    r"Server-Stamp|Not-Run|Expect-Instance|Expect-Version|Weight-Versions|Duty-Holder|"
    r"Fencing-Token|Token-Counts|Prompt-Prefix|Deadline-Ms|Request-Urgency|Kv-|/-/|"
    r"keyed\.(op|servers)|log-append|log-read|log-newest|trafficSplit|apiKeys|"
    r"desiredCount|minVersion|coldPerS|nextToken"
)


def list_modules():
    return [path for path in ROOT.rglob("*.py") if "tests" not in path.parts]


def find_imports():
    imports = {}
    for path in list_modules():
        parts = path.relative_to(ROOT).parts
        subject = parts[0] if len(parts) > 1 else "package"
        found = imports.setdefault(subject, set())
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                words = node.module.split(".")
                if words[0] == "buckthornstile" and len(words) > 1:
                    found.add(words[1])
        found.discard(subject)
    return imports


def test_no_subject_imports_itself_by_way_of_others():
    imports = find_imports()

    def reach(subject, seen):
        for other in imports.get(subject, ()):
            if other not in seen:
                seen.add(other)
                reach(other, seen)
        return seen

    circles = [subject for subject in imports if subject in reach(subject, set())]
    assert circles == []


def test_only_the_platforms_folder_spells_its_names():
    for path in list_modules():
        if path.parent.name != "platform":
            found = PLATFORM_WORDS.search(path.read_text())
            assert found is None, f"{path.name} spells {found}"
