"""What several test files use."""

import pytest

from loftroute.lab.standins import Relay
from tests.stepped import Unit, Whole

pytest_plugins = ["tests.known_red"]


@pytest.fixture
def relay(tmp_path):
    made = []

    def make(units, **changes):
        made.append(Relay(tmp_path, units, **changes))
        return made[-1]

    yield make
    for one in made:
        one.stop()


@pytest.fixture
def world():
    """Makes whole relays in this process (`tests/stepped.py`)."""
    made = []

    def make(units=1, backlog=64, buffer=None, limits=None, **changes):
        named = {f"u{n}": Unit(backlog, buffer) for n in range(units)}
        made.append(Whole(named, limits, **changes))
        return made[-1]

    yield make
    for one in made:
        one.stop()
