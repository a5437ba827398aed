"""Chooses the way to the store: the direct one, or through another entry.

The store may turn single VMs away, or be cut off from them, while it serves others.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    PlatformUnavailableError,
    Verdict,
)
from buckthornstile.logs import log_event
from buckthornstile.messages import ClientRequest, Response
from buckthornstile.platform import StoreClient

LOST_TIME = 0.6
"""Seconds without a successful call, after a failed one, until the direct way is
taken as lost: a held read and a record of this process take less."""
PROBE_PERIOD = 0.4
"""Seconds between two looks whether the direct way works again."""
AVOID_TIME = 1.0
"""Seconds for which an entry that could not pass a call on is not asked again."""
RETRY_AFTER_SECONDS = 0.1
"""Seconds after which a call that was not passed on may come again."""


class StoreProxySelector:
    """Keeps track of the direct way, and of entries that may pass calls on.

    Args:
        clock: Gives the time in seconds; it must go on while suspended.
        list_proxies: Gives the addresses of the other entries.
        random_source: For the choice between them.

    Example:
        >>> StoreProxySelector(lambda: 0.0, lambda: [], random.Random(7)).select_proxy()
        ''
    """

    def __init__(
        self,
        clock: Callable[[], float],
        list_proxies: Callable[[], list[str]],
        random_source: random.Random,
    ) -> None:
        self.clock = clock
        self.list_proxies = list_proxies
        self.random_source = random_source
        self.is_direct_path_lost = False
        self._succeeded_at = clock()
        self._avoided_until: dict[str, float] = {}

    def select_proxy(self) -> str:
        """Gives the address of an entry to pass a call on, or "" for the direct way."""
        if not self.is_direct_path_lost:
            return ""
        now = self.clock()
        relays = [
            address
            for address in self.list_proxies()
            if self._avoided_until.get(address, now) <= now
        ]
        return self.random_source.choice(relays) if relays else ""

    def record_success(self, relay: str) -> None:
        """Notes a call that the store answered."""
        if relay:
            self._avoided_until.pop(relay, None)
            return
        self._succeeded_at = self.clock()
        if self.is_direct_path_lost:
            self.is_direct_path_lost = False
            self._avoided_until.clear()
            log_event("store.path_regained")

    def record_failure(self, relay: str) -> None:
        """Notes a call that the store did not take, or that had no answer."""
        now = self.clock()
        if relay:
            self._avoided_until[relay] = now + AVOID_TIME
        elif not self.is_direct_path_lost and now - self._succeeded_at > LOST_TIME:
            self.is_direct_path_lost = True
            log_event("store.path_lost", away=now - self._succeeded_at)

    async def run_probes(self, probe: Callable[[], Awaitable[None]]) -> None:
        """Tries the direct way while it is lost, until cancelled.

        Args:
            probe: Makes a call the direct way, of which this path is told.
        """
        while True:
            await asyncio.sleep(PROBE_PERIOD)
            if self.is_direct_path_lost:
                try:
                    await probe()
                except PlatformUnavailableError:
                    continue  # already noted as a failure


class StoreProxy:
    """Passes calls to the store on for entries that cannot reach it.

    Args:
        store: The store.
        selector: This process's own way to it.
    """

    def __init__(self, store: StoreClient, selector: StoreProxySelector) -> None:
        self.store = store
        self.selector = selector

    async def handle(self, request: ClientRequest) -> Response:
        """Passes one call on, and gives the store's answer.

        Raises:
            BuckthornstileError: The store is out of reach here too; the verdict is
                NOT_RUN only if the call had no effect and will have none.
        """
        if self.selector.is_direct_path_lost:
            raise BuckthornstileError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "the store is out of reach here too",
                retry_after=RETRY_AFTER_SECONDS,
            )
        try:
            answer = await self.store.forward(request)
        except PlatformUnavailableError as error:
            verdict = Verdict.NOT_RUN
            if error.may_have_taken_effect:
                verdict = Verdict.MAY_HAVE_RUN
            raise BuckthornstileError(
                ErrorCode.PLATFORM_UNAVAILABLE, error.message, verdict=verdict
            ) from error
        return Response(answer.status, bytes(answer.body))
