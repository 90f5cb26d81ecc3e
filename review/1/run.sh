#!/bin/sh
# Replace a core machine as planned; a second one loses its disk after catchup_s.
cd "$(dirname "$0")/../.."
PYTHONPATH=review exec python3 -S review/1/case.py
