"""Timer service that the other parts subscribe to."""

from agatethread.timing._service import TimerService

__all__ = ["TimerService"]
