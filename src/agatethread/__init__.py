"""Layer-4 load balancer for live events with a fixed start."""

__all__ = ["__version__"]

__version__ = "0.1.0"
