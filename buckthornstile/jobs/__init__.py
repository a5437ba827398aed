"""Batch jobs: their types, their records in the store and the state of all jobs."""

from buckthornstile.jobs._progress import ProgressCheckpoint, choose_progress
from buckthornstile.jobs._records import (
    JobRecord,
    OwnerClaim,
    encode_claim,
    encode_end,
    encode_result,
    encode_specification,
)
from buckthornstile.jobs._table import Job, JobTable
from buckthornstile.jobs._types import (
    ItemId,
    ItemResult,
    JobId,
    JobItem,
    JobSpecification,
    ResultState,
    ScoreCall,
    StoredProgress,
    VersionSpan,
)

__all__ = [
    "ItemId",
    "ItemResult",
    "Job",
    "JobId",
    "JobItem",
    "JobRecord",
    "JobSpecification",
    "JobTable",
    "OwnerClaim",
    "ProgressCheckpoint",
    "ResultState",
    "ScoreCall",
    "StoredProgress",
    "VersionSpan",
    "choose_progress",
    "encode_claim",
    "encode_end",
    "encode_result",
    "encode_specification",
]
