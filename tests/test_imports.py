"""The package has no import cycles, and only platform/ uses the platform's names."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[1] / "buckthornstile"
PLATFORM_NAMES = re.compile(
    r"Server-Stamp|Not-Run|Expect-Instance|Expect-Version|Weight-Versions|Duty-Holder|"
    r"Fencing-Token|Token-Counts|Prompt-Prefix|Deadline-Ms|Request-Urgency|Kv-|/-/|"
    r"keyed\.(op|servers)|log-append|log-read|log-newest|trafficSplit|apiKeys|"
    r"desiredCount|minVersion|coldPerS|nextToken"
)


def list_modules():
    return [path for path in ROOT.rglob("*.py") if "tests" not in path.parts]


def find_subpackage_imports():
    imports = {}
    for path in list_modules():
        parts = path.relative_to(ROOT).parts
        subpackage = parts[0] if len(parts) > 1 else "package"
        found = imports.setdefault(subpackage, set())
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                words = node.module.split(".")
                if words[0] == "buckthornstile" and len(words) > 1:
                    found.add(words[1])
        found.discard(subpackage)
    return imports


def test_subpackages_have_no_import_cycles():
    imports = find_subpackage_imports()

    def find_reachable(subpackage, visited):
        for other in imports.get(subpackage, ()):
            if other not in visited:
                visited.add(other)
                find_reachable(other, visited)
        return visited

    cycles = [name for name in imports if name in find_reachable(name, set())]
    assert cycles == []


def test_only_platform_folder_uses_platform_names():
    for path in list_modules():
        if path.parent.name != "platform":
            found = PLATFORM_NAMES.search(path.read_text())
            assert found is None, f"{path.name} uses a platform name: {found}"
