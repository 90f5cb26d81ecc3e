import sys
from pathlib import Path

# The adapter is not part of the installed package.
sys.path.insert(0, str(Path(__file__).parents[2] / "platform"))
