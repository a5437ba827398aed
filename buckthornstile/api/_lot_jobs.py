"""Conversion of lots to batch jobs, and of job results to samples."""

import hashlib
import json

from buckthornstile.api._generation import make_generation_hints
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

LOT_DIGEST_BYTES = 12


def make_job(
    specification: LotSpecification,
    job_id: JobId,
    *,
    lot: LotId,
    account: AccountId,
    key: KeyId,
    route: str,
    model: ModelName,
    minimum_version: int,
    submitted_at: float,
    configuration_version: int,
) -> JobSpecification:
    """Builds the job of a lot, with an item for each slot and a group for each prompt.

    Args:
        specification: The specification of the lot.
        job_id: The id of the job.
        lot: The id of the lot, unique across all client accounts.
        account: The client account.
        key: The id of the API key of the request.
        route: The name of the rule that serves the lot.
        model: The model that generates the samples.
        minimum_version: The oldest weight version that a sample may have.
        submitted_at: Submission time, in seconds since the epoch.
        configuration_version: The revision under which the lot was accepted.
    """
    lot_digest = make_lot_digest(lot)
    items = []
    for number, group in enumerate(specification.groups):
        hints = make_generation_hints(
            model, group.prompt, group.max_tokens, group.expected_tokens
        )
        headers = encode_generation(hints)
        for index in range(group.samples):
            fields = {
                "prompt": group.prompt,
                "max_tokens": group.max_tokens,
                "seed": index,
            }
            items.append(
                JobItem(
                    id=ItemId(f"{lot_digest}-{number}-{index}"),
                    path=specification.path,
                    headers=headers,
                    body=json.dumps(fields).encode(),
                    tokens=hints.prompt_tokens + group.max_tokens,
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
        minimum_version=minimum_version,
        time_limit=specification.timeout,
        key=key,
        configuration_version=configuration_version,
    )


def make_sample(result: ItemResult, minimum_version: int) -> Sample | None:
    """Builds the sample of a result, or returns None if it is incomplete or too old."""
    if result.state is not ResultState.COMPLETE:
        return None
    if min(result.versions, default=-1) < minimum_version:
        return None
    token_ranges = []
    first = 0
    for span in result.version_spans:
        last = first + span.events - 1
        token_ranges.append(TokenRange(first, last, WeightVersion(span.version)))
        first = last + 1
    events = result.text.split("\n")
    body = json.dumps({"text": result.text, "events": events}).encode()
    return Sample(parse_slot(result.item), body, tuple(token_ranges))


def make_lot_digest(lot: LotId) -> str:
    """Returns the digest of a lot id, a prefix of the ids of its jobs and items.

    Example:
        >>> len(make_lot_digest("mill-7/geometry/step-9"))
        24
    """
    return hashlib.blake2b(lot.encode(), digest_size=LOT_DIGEST_BYTES).hexdigest()


def make_job_id(lot: LotId, minimum_version: int, number: int = 0) -> JobId:
    """Returns the id of a job of a lot.

    Args:
        lot: The id of the lot.
        minimum_version: The oldest weight version that a sample may have.
        number: The number of the job among those of this version, from 0.
    """
    return JobId(f"{make_lot_digest(lot)}.{minimum_version}.{number}")


def make_trainer_key(account: AccountId, trainer: str) -> str:
    """Returns the record key under which the version of a trainer is stored."""
    return f"{account}/{trainer}"


def is_finished_without(job: Job, missing: set[Slot]) -> bool:
    """Whether a job is finished but lacks at least one of the missing samples."""
    if not job.is_finished():
        return False
    complete = {
        parse_slot(result.item)
        for result in job.results
        if result.state is ResultState.COMPLETE
    }
    return not missing <= complete


def parse_slot(item: ItemId) -> Slot:
    """Returns the slot that an item id contains."""
    _, group, index = item.rsplit("-", 2)
    return Slot(int(group), int(index))
