"""Timer service for periodic calls."""

from agatethread.timing._service import TimerService

__all__ = ["TimerService"]
