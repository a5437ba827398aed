"""Selects the path to the store: the direct one, or through another entry as a proxy.

The store may refuse calls from single VMs, or be unreachable from them, while it serves
others.
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

DIRECT_PATH_LOSS_TIME = 0.6
"""Seconds since the last successful direct call, after which a failed direct call marks
the direct path as lost. A long poll and the interval between two presence records of
this process are shorter."""
PROBE_INTERVAL = 0.4
"""Seconds between two checks of whether the direct path works again."""
PROXY_BACKOFF_TIME = 1.0
"""Seconds for which an entry that failed to forward a call is not used as a proxy."""
RETRY_AFTER_SECONDS = 0.1
"""Seconds after which a call that was not forwarded may be retried."""


class StoreProxySelector:
    """Tracks whether the direct path works, and which entries may serve as proxies.

    Args:
        clock: Returns the time in seconds; it must advance while the VM is suspended.
        list_proxies: Returns the addresses of the other entries.
        random_source: Source of randomness for the choice between them.

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

    def select_proxy(self, *, avoids_direct_path: bool = False) -> str:
        """Returns the address of the proxy to use, or "" for the direct path.

        Args:
            avoids_direct_path: Whether to use a proxy if there is one, also while the
                direct path is not known to be lost.
        """
        if not (self.is_direct_path_lost or avoids_direct_path):
            return ""
        now = self.clock()
        proxies = [
            address
            for address in self.list_proxies()
            if self._avoided_until.get(address, now) <= now
        ]
        return self.random_source.choice(proxies) if proxies else ""

    def record_success(self, proxy: str) -> None:
        """Records a call that the store responded to.

        Args:
            proxy: Address of the proxy, or "" for the direct path.
        """
        if proxy:
            self._avoided_until.pop(proxy, None)
            return
        self._succeeded_at = self.clock()
        if self.is_direct_path_lost:
            self.is_direct_path_lost = False
            self._avoided_until.clear()
            log_event("store.path_regained")

    def record_failure(self, proxy: str) -> None:
        """Records a call that the store did not accept or did not respond to.

        Args:
            proxy: Address of the proxy, or "" for the direct path.
        """
        now = self.clock()
        if proxy:
            self._avoided_until[proxy] = now + PROXY_BACKOFF_TIME
        elif (
            not self.is_direct_path_lost
            and now - self._succeeded_at > DIRECT_PATH_LOSS_TIME
        ):
            self.is_direct_path_lost = True
            log_event("store.path_lost", away=now - self._succeeded_at)

    async def run_probes(self, probe: Callable[[], Awaitable[None]]) -> None:
        """Tries the direct path while it is lost, until cancelled.

        Args:
            probe: Sends a direct call to the store and records its outcome.
        """
        while True:
            await asyncio.sleep(PROBE_INTERVAL)
            if self.is_direct_path_lost:
                try:
                    await probe()
                except PlatformUnavailableError:
                    continue  # The store client has already recorded the failure.


class StoreProxy:
    """Forwards calls to the store for entries that cannot reach it.

    Args:
        store: The store.
        selector: Selects this process's own path to the store.
    """

    def __init__(self, store: StoreClient, selector: StoreProxySelector) -> None:
        self.store = store
        self.selector = selector

    async def handle(self, request: ClientRequest) -> Response:
        """Forwards one call and returns the store's response.

        Raises:
            BuckthornstileError: This process cannot reach the store either; the verdict
                is NOT_RUN only if the call had no effect and will have none.
        """
        if self.selector.is_direct_path_lost:
            raise BuckthornstileError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "this process cannot reach the store either",
                retry_after=RETRY_AFTER_SECONDS,
            )
        try:
            response = await self.store.forward(request)
        except PlatformUnavailableError as error:
            verdict = Verdict.NOT_RUN
            if error.may_have_taken_effect:
                verdict = Verdict.MAY_HAVE_RUN
            raise BuckthornstileError(
                ErrorCode.PLATFORM_UNAVAILABLE, error.message, verdict=verdict
            ) from error
        return Response(response.status, bytes(response.body))
