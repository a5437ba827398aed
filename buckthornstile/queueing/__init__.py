"""Weighted fair queue of the requests that wait for an upstream."""

from buckthornstile.queueing._fair_queue import FairQueue, QueueCounters
from buckthornstile.queueing._items import PushResult, QueueItem

__all__ = ["FairQueue", "PushResult", "QueueCounters", "QueueItem"]
