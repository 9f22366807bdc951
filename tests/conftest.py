"""What several test files use."""

import pytest

from loftroute.lab.standins import Relay


@pytest.fixture
def relay(tmp_path):
    made = []

    def make(units, **changes):
        made.append(Relay(tmp_path, units, **changes))
        return made[-1]

    yield make
    for one in made:
        one.stop()
