"""Which versions of the configuration may explain what clients were answered."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

KEY_LIMIT = 5.0
"""Seconds after a change within which an entry may act on the version before it."""
REGRESSION_LIMIT = 0.25
"""Seconds after an upstream ran a request under a version, from which its entry may
not act on an older one."""


@dataclass(frozen=True, slots=True)
class KeyVersion:
    """A version of the configuration.

    Attributes:
        accounts: The client account of each key.
        sent_at: When it was sent to the store, in seconds.
        acknowledged_at: When the store had acknowledged it, in seconds.
    """

    accounts: dict[str, str]
    sent_at: float
    acknowledged_at: float


@dataclass(frozen=True, slots=True)
class KeyObservation:
    """A request with a key, and the response.

    Attributes:
        entry: The entry that was asked, with the number of its start.
        key: The key.
        job_account: The account of the job that was asked for; empty for a call.
        status: The status of the response.
        sent_at: When the request was sent, in seconds.
        done_at: When the response was complete, in seconds.
    """

    entry: str
    key: str
    job_account: str
    status: int
    sent_at: float
    done_at: float

    def is_explained_by(self, version: KeyVersion) -> bool:
        """Whether a process that knows this version may respond so."""
        account = version.accounts.get(self.key)
        if self.status == 401:
            return account is None
        if self.status == 200:
            return account is not None and self.job_account in ("", account)
        if self.status == 404:
            return account is not None and account != self.job_account
        return True


def find_problems(
    versions: list[KeyVersion], observations: Iterable[KeyObservation]
) -> list[str]:
    """Returns what no version explains that may have been in effect.

    Args:
        versions: All versions, the oldest first.
        observations: What clients were answered.
    """
    problems = []
    by_entry: dict[str, list[KeyObservation]] = defaultdict(list)
    for observation in sorted(observations, key=lambda one: one.done_at):
        if not _list_explanations(versions, observation):
            problems.append(f"no version explains {observation}")
        by_entry[observation.entry].append(observation)
    for entry_observations in by_entry.values():
        problems += _find_regressions(versions, entry_observations)
    return problems


def _list_explanations(
    versions: list[KeyVersion], observation: KeyObservation
) -> list[int]:
    """Returns the numbers of the versions that explain a response."""
    explanations = []
    for number, version in enumerate(versions):
        following = versions[number + 1 : number + 2]
        is_outdated = any(
            later.acknowledged_at < observation.sent_at - KEY_LIMIT
            for later in following
        )
        if version.sent_at > observation.done_at or is_outdated:
            continue
        if observation.is_explained_by(version):
            explanations.append(number)
    return explanations


def _find_regressions(
    versions: list[KeyVersion], observations: list[KeyObservation]
) -> list[str]:
    """Returns responses of one process that only explain an older version than shown.

    Args:
        versions: All versions, the oldest first.
        observations: What the process responded, in the order of the responses.
    """
    problems = []
    shown: list[tuple[float, int]] = []
    for observation in observations:
        explanations = _list_explanations(versions, observation)
        newest = max(
            (
                number
                for at, number in shown
                if at + REGRESSION_LIMIT < observation.sent_at
            ),
            default=0,
        )
        if explanations and max(explanations) < newest:
            problems.append(f"version {newest} had been in effect: {observation}")
        if observation.status == 200 and not observation.job_account and explanations:
            shown.append((observation.done_at, min(explanations)))
    return problems
