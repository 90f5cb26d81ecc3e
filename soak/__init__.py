"""Soak test: random faults against the real programs as processes on one machine.

Faults are injected from outside with signals, a loopback proxy between the instances,
file size limits and deleted directories. The checks use only what callers, backend
servers and operators can observe.
"""
