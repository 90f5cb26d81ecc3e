"""Randomized faults against the real programs, as separate processes on one machine.

Everything happens from outside: signals, a loopback proxy between the instances, limits
on what their disks take, and folders that are gone. What is checked is what callers,
backend servers and operators see.
"""
