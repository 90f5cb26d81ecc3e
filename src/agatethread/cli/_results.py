"""How an operators' command tells its result."""

import argparse
import json

EXIT_DONE, EXIT_REFUSED, EXIT_USAGE = 0, 1, 2


def print_result(options: argparse.Namespace, data: dict, text: str) -> None:
    """Print a result as JSON if that was asked for, else as text.

    Parameters
    ----------
    options : argparse.Namespace
        The command line.
    data : dict
        Ready for JSON.
    text : str
        The same for people.
    """
    print(json.dumps(data, indent=2) if options.json else text)
