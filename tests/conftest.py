"""Fixtures of all tests."""

import gc

import eliot
import pytest


@pytest.fixture(scope='module', autouse=True)
def _exempt_survivors_from_collection():
    """Keeps garbage collections short.

    Objects that outlive a module are never examined again; otherwise full
    collections come to take half a second, during which a test that runs in
    real time stands still.
    """
    yield
    gc.collect()
    gc.freeze()


@pytest.fixture
def logged_events():
    """Returns a function that lists the events of one name logged so far."""
    lines = []
    eliot.add_destinations(lines.append)
    # The first destination gets what was logged before.
    lines.clear()
    yield lambda name: [
        line for line in lines if line.get('message_type') == name
    ]
    eliot.remove_destination(lines.append)
