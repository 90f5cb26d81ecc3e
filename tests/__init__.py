import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile("long", parent=settings.get_profile("ci"), derandomize=False)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
