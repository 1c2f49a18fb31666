"""Tests that the product stands without its benches and stand-ins."""

import ast
import pathlib

PACKAGE = pathlib.Path(__file__).parent.parent / 'borageyard'
SUPPORT_PACKAGES = ('bench', 'commands', 'faults', 'standins')
# Runs the command line as a module.
ENTRY_POINT = '__main__.py'


def imported_from(path):
    """Yields the names of the modules that a file imports from."""
    tree = ast.parse(path.read_text(encoding='utf-8'))
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom):
            yield (node.module or '').split('.')[0]


def product_files():
    """Yields the sources at the top and in the adapter."""
    for folder in (PACKAGE, PACKAGE / 'platform'):
        yield from folder.glob('*.py')


class TestPackageDependencies:
    """What serves requests needs nothing that tries it out."""

    def test_product_imports_no_support_package(self):
        """Rooms import from the top, never the other way round."""
        found = {
            path.name: package
            for path in product_files()
            for package in set(imported_from(path)) & set(SUPPORT_PACKAGES)
            if path != PACKAGE / ENTRY_POINT
        }
        assert not found

    def test_support_packages_exist(self):
        """A room that is renamed is not left out of the check."""
        assert all(
            (PACKAGE / package / '__init__.py').is_file()
            for package in SUPPORT_PACKAGES
        )
