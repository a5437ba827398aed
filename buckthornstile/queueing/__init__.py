"""The agent's weighted fair queue of requests for its upstream."""

from buckthornstile.queueing._fair_queue import FairQueue, QueueCounters
from buckthornstile.queueing._items import PushResult, QueueItem

__all__ = ["FairQueue", "PushResult", "QueueCounters", "QueueItem"]
