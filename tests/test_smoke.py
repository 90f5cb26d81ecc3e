import unittest

from agatethread import __version__


class TestPackage(unittest.TestCase):
    def test_has_a_version(self):
        """The package names its version."""
        self.assertTrue(__version__)
