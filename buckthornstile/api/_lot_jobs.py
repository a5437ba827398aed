"""Lots as batch jobs: their ids, items, and the samples of their results."""

import hashlib
import json

from buckthornstile.api._generation import make_generation
from buckthornstile.base import AccountId, KeyId, LotId, WeightVersion
from buckthornstile.jobs import (
    ItemId,
    ItemResult,
    Job,
    JobId,
    JobItem,
    JobSpecification,
    ResultState,
)
from buckthornstile.platform import encode_generation
from buckthornstile.samples import LotSpecification, Sample, Slot, TokenRange
from buckthornstile.topology import API_HOST, ModelName

NAME_BYTES = 12


def make_job(
    specification: LotSpecification,
    job_id: JobId,
    *,
    lot: LotId,
    account: AccountId,
    key: KeyId,
    route: str,
    model: ModelName,
    minimum: int,
    submitted_at: float,
) -> JobSpecification:
    """Makes the job of a lot: an item for each slot, a group for each prompt.

    Args:
        specification: The lot.
        job_id: The job's id.
        lot: The lot's id, unique over all client accounts.
        account: The client account.
        key: The key that came with it.
        route: The name of the rule that serves it.
        model: The model that its trainer trains.
        minimum: The oldest version that a sample may have.
        submitted_at: Seconds since the epoch.
    """
    name = make_lot_name(lot)
    items = []
    for number, group in enumerate(specification.groups):
        generation = make_generation(
            model, group.prompt, group.max_tokens, group.expected_tokens
        )
        headers = encode_generation(generation)
        for index in range(group.samples):
            fields = {
                "prompt": group.prompt,
                "max_tokens": group.max_tokens,
                "seed": index,
            }
            items.append(
                JobItem(
                    id=ItemId(f"{name}-{number}-{index}"),
                    path=specification.path,
                    headers=headers,
                    body=json.dumps(fields).encode(),
                    tokens=generation.prompt_tokens + group.max_tokens,
                    group=str(number),
                    expected_tokens=group.expected_tokens,
                )
            )
    return JobSpecification(
        id=job_id,
        account=account,
        host=API_HOST,
        path_prefix=route,
        submitted_at=submitted_at,
        items=tuple(items),
        model=model,
        minimum_version=minimum,
        time_limit=specification.timeout,
        key=key,
    )


def make_sample(result: ItemResult, minimum: int) -> Sample | None:
    """Makes a sample of a result; None if it was given up or is too old."""
    if result.state is not ResultState.COMPLETE:
        return None
    if min(result.versions, default=-1) < minimum:
        return None
    labels = []
    first = 0
    for run in result.version_spans:
        last = first + run.events - 1
        labels.append(TokenRange(first, last, WeightVersion(run.version)))
        first = last + 1
    text = result.text.split("\n")
    body = json.dumps({"text": result.text, "events": text}).encode()
    return Sample(read_slot(result.item), body, tuple(labels))


def make_lot_name(lot: LotId) -> str:
    """Makes a short name of a lot, for ids.

    Example:
        >>> len(make_lot_name("mill-7/geometry/step-9"))
        24
    """
    return hashlib.blake2b(lot.encode(), digest_size=NAME_BYTES).hexdigest()


def make_job_id(lot: LotId, minimum: int, number: int = 0) -> JobId:
    """Makes the id of a lot's job for one oldest version, from number 0 on."""
    return JobId(f"{make_lot_name(lot)}.{minimum}.{number}")


def make_trainer_name(account: AccountId, trainer: str) -> str:
    """Makes the name under which a trainer's version is kept."""
    return f"{account}/{trainer}"


def has_given_up(job: Job, missing: set[Slot]) -> bool:
    """Whether a job is over and some of the missing samples are not in it."""
    if not job.is_finished():
        return False
    complete = {
        read_slot(result.item)
        for result in job.results
        if result.state is ResultState.COMPLETE
    }
    return not missing <= complete


def read_slot(item: ItemId) -> Slot:
    """Reads the slot that an item's id names."""
    _, group, index = item.rsplit("-", 2)
    return Slot(int(group), int(index))
