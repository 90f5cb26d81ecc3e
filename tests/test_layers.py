import ast
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PACKAGE = ROOT / "src" / "agatethread"

#: Each may import from those above it only, so there is no circle.
LAYERS = (
    {"exceptions", "timing"},
    {"settings", "wire"},
    {"balancing", "observability", "routing", "transfer"},
    {"membership", "rpc", "sockets"},
    {"operations", "registry"},
    {"client", "control", "datapath", "entry"},
    {"cli"},
    {"__main__"},
)


def modules():
    """Every module that is not generated."""
    for path in sorted(PACKAGE.rglob("*.py")):
        if not path.stem.endswith(("_pb2", "_pb2_grpc")):
            yield path


def part_of(path):
    """The package, or module at the top, that a file belongs to."""
    relative = path.relative_to(PACKAGE)
    return relative.parts[0] if len(relative.parts) > 1 else relative.stem


def imports_of(path):
    """Names of the modules that a file imports, wherever it does."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and not node.level:
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


class TestLayers(unittest.TestCase):
    def test_no_import_leads_back_up(self):
        """A package imports from lower layers only."""
        level = {part: number for number, parts in enumerate(LAYERS) for part in parts}
        wrong = []
        for path in modules():
            part = part_of(path)
            if part == "__init__":
                continue
            for name in imports_of(path):
                package, _, rest = name.partition(".")
                other = rest.partition(".")[0]
                if package != "agatethread" or not other or other == part:
                    continue
                if level[other] >= level[part]:
                    wrong.append(f"{path.relative_to(ROOT)} imports {name}")
        self.assertEqual(wrong, [])

    def test_package_knows_nothing_of_what_uses_it(self):
        """Neither the platform's folder nor benchmarks, stand-ins or tests."""
        outside = {"agatethread_platform", "benchmarks", "standins", "soak", "tests"}
        wrong = [
            f"{path.relative_to(ROOT)} imports {name}"
            for path in modules()
            for name in imports_of(path)
            if name.partition(".")[0] in outside
        ]
        self.assertEqual(wrong, [])

    def test_imports_are_absolute(self):
        """Names are imported from where they stand."""
        for path in modules():
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.ImportFrom):
                    with self.subTest(path=path.name, line=node.lineno):
                        self.assertEqual(node.level, 0)
