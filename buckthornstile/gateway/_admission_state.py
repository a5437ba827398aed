"""State of the admission of one service, and when calls are admitted."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from buckthornstile.admission import RefusalReason, ServiceAdmission
from buckthornstile.base import RequestId


class AdmissionMode(Enum):
    """When calls are admitted."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


@dataclass(slots=True)
class ServiceState:
    """The admission of one service, and the calls that wait for it.

    Attributes:
        admission: Takes the decisions.
        waiting: Results of the waiting calls: None to start, or why it is refused.
        granted: Number of calls that were told to start and have not yet.
        refused_at: Time of the last refusal by this entry, by the balancer's clock.
        timer: Next check for a free slot.
    """

    admission: ServiceAdmission
    waiting: dict[RequestId, "asyncio.Future[RefusalReason | None]"] = field(
        default_factory=dict
    )
    granted: int = 0
    refused_at: float = -inf
    timer: asyncio.TimerHandle | None = None
