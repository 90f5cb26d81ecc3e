"""Run the daemon as ``python -m agatethread``."""

from agatethread.cli import run_daemon

if __name__ == "__main__":
    run_daemon()
