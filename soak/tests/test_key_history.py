"""The check of what clients were answered while keys changed accounts."""

import pytest

from soak._key_history import KeyObservation, KeyVersion, find_problems

VERSIONS = [
    KeyVersion({"k": "a"}, 0.0, 0.1),
    KeyVersion({"k": "b", "new": "a"}, 10.0, 10.1),
]


def observe(
    key: str, account: str, status: int, at: float, entry: str = "e1"
) -> KeyObservation:
    return KeyObservation(entry, key, account, status, at, at + 0.1)


@pytest.mark.parametrize(
    "observations, count",
    [
        ([observe("k", "a", 200, 11.0), observe("k", "b", 200, 11.0)], 0),
        ([observe("k", "a", 200, 16.0)], 1),
        ([observe("k", "a", 404, 9.0)], 1),
        ([observe("none", "a", 200, 9.0)], 1),
        ([observe("new", "", 200, 11.0), observe("new", "a", 401, 11.2)], 0),
        ([observe("new", "", 200, 11.0), observe("new", "a", 401, 11.5)], 1),
        ([observe("new", "", 200, 11.0), observe("k", "a", 200, 11.5)], 1),
        ([observe("new", "", 200, 11.0), observe("k", "a", 200, 11.5, "e2")], 0),
        ([observe("new", "", 200, 11.0), observe("k", "a", 503, 11.5)], 0),
    ],
)
def test_only_what_no_possible_version_explains_is_a_problem(observations, count):
    assert len(find_problems(VERSIONS, observations)) == count
