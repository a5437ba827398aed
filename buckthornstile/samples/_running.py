"""The agent's table of samples that its engine makes now.

When a trainer moves to another entry, that entry dispatches slots which are
being made already. Such a dispatch joins the running one, so that an entry's
death does not cost the work begun.
"""

from dataclasses import dataclass

from buckthornstile.base import LotId, RequestId, WeightVersion
from buckthornstile.wire import Slot


@dataclass(slots=True)
class _Run:
    lot: LotId
    slot: Slot
    version: WeightVersion
    waiting: list[RequestId]


class RunningSlots:
    """Knows which requests wait for which running sample.

    Example:
        >>> running = RunningSlots()
        >>> lot, slot = LotId("l"), Slot(0, 0)
        >>> running.begin(lot, slot, RequestId("e1/1"), version=WeightVersion(5))
        >>> running.join(lot, slot, RequestId("e2/1"), minimum_version=WeightVersion(5))
        True
        >>> running.leave(RequestId("e1/1")) is None
        True
        >>> running.finish(RequestId("e1/1"))
        ('e2/1',)
    """

    def __init__(self) -> None:
        self.joined_count = 0
        self._runs: dict[RequestId, _Run] = {}
        self._newest: dict[tuple[LotId, Slot], RequestId] = {}
        self._joined: dict[RequestId, RequestId] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def begin(
        self,
        lot: LotId,
        slot: Slot,
        request_id: RequestId,
        *,
        version: WeightVersion,
    ) -> None:
        """Notes that the engine begins a sample.

        Args:
            lot: The lot.
            slot: The slot.
            request_id: The request that is sent to the engine.
            version: The version that the engine reports before.
        """
        self._runs[request_id] = _Run(lot, slot, version, [request_id])
        self._joined[request_id] = request_id
        self._newest[lot, slot] = request_id

    def join(
        self,
        lot: LotId,
        slot: Slot,
        request_id: RequestId,
        *,
        minimum_version: WeightVersion,
    ) -> bool:
        """Lets a dispatch wait for the slot's running sample.

        Args:
            lot: The lot.
            slot: The slot.
            request_id: The new dispatch's request.
            minimum_version: The oldest weights that it allows.

        Returns:
            Whether it waits now; if not, it has to be run for itself.
        """
        running = self._newest.get((lot, slot))
        if running is None or self._runs[running].version < minimum_version:
            return False
        self._runs[running].waiting.append(request_id)
        self._joined[request_id] = running
        self.joined_count += 1
        return True

    def leave(self, request_id: RequestId) -> RequestId | None:
        """Takes in that a request is cancelled.

        Args:
            request_id: The request.

        Returns:
            The request to cancel at the engine, or None if others still wait
            for it or it is not known.
        """
        running = self._joined.pop(request_id, None)
        if running is None:
            return None
        run = self._runs[running]
        run.waiting.remove(request_id)
        if run.waiting:
            return None
        self._remove(running)
        return running

    def finish(self, running: RequestId) -> tuple[RequestId, ...]:
        """Takes in that a sample has ended, well or not.

        Args:
            running: The request that was sent to the engine.

        Returns:
            The requests to answer; none if all have been cancelled.
        """
        if running not in self._runs:
            return ()
        run = self._remove(running)
        for request_id in run.waiting:
            del self._joined[request_id]
        return tuple(run.waiting)

    def _remove(self, running: RequestId) -> _Run:
        run = self._runs.pop(running)
        key = (run.lot, run.slot)
        if self._newest.get(key) == running:
            del self._newest[key]
        return run
