#!/bin/sh
# Send an invalid configuration, all of whose routes are empty, until it is refused.
cd "$(dirname "$0")/../.."
PYTHONPATH=review exec python3 -S review/2/case.py
