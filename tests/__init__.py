"""Tests of eelgrasswalk."""

import hypothesis

# The same inputs in every run. Deadlines and the check for slow inputs measure
# the machine that runs the tests, not the code under test.
hypothesis.settings.register_profile(
    'steady',
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile('steady')
