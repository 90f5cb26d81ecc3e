"""Exit codes of the operators' commands, and the printing of results."""

import argparse
import json

EXIT_DONE, EXIT_REFUSED, EXIT_USAGE = 0, 1, 2


def print_result(options: argparse.Namespace, data: dict, text: str) -> None:
    """Print a result as JSON if ``--json`` is set, else as text.

    Parameters
    ----------
    options : argparse.Namespace
        The command line.
    data : dict
        Result as JSON data.
    text : str
        Result as text.
    """
    print(json.dumps(data, indent=2) if options.json else text)
