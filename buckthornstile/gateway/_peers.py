"""Passes requests on to entries that follow their partition."""

import asyncio

from buckthornstile.base import BuckthornstileError, ErrorCode, ProcessName
from buckthornstile.calls import ClientRequest, Reply
from buckthornstile.exchanges import ConnectionPool
from buckthornstile.gateway._followers import Followers
from buckthornstile.gateway._presence import PresenceTable
from buckthornstile.logs import log_event
from buckthornstile.platform import decode_forwarded, encode_forward

FORWARD_TIME = 0.6
"""Seconds for a peer to answer, beyond what the request asks to be held."""
MAX_PEERS = 3
"""Peers that are asked one after the other."""
RETRY_HINT = 0.1


class PeerClient:
    """Passes clients' requests about jobs on.

    Args:
        name: This process's name.
        followers: Which entries follow which partitions.
        presence: Where they listen for each other.
        pool: Connections to them.
    """

    def __init__(
        self,
        name: ProcessName,
        followers: Followers,
        presence: PresenceTable,
        pool: ConnectionPool,
    ) -> None:
        self.name = name
        self.followers = followers
        self.presence = presence
        self.pool = pool

    async def forward(self, request: ClientRequest, part: int) -> Reply:
        """Passes a request on until a peer answers it.

        Args:
            request: A request that may be repeated.
            part: The partition that it concerns.

        Raises:
            BuckthornstileError: No peer gave an answer.
        """
        peers = [
            name for name in self.followers.list_followers(part) if name != self.name
        ]
        for peer in peers[:MAX_PEERS]:
            address = self.presence.get_address(peer)
            if not address:
                continue
            try:
                async with asyncio.timeout(FORWARD_TIME + request.wait):
                    answer = await self.pool.exchange(address, encode_forward(request))
            except (TimeoutError, BuckthornstileError) as error:
                log_event(
                    "peer.failed", request=request.id, peer=peer, reason=repr(error)
                )
                self.pool.drop_idle(address)
                continue
            return decode_forwarded(answer)
        raise BuckthornstileError(
            ErrorCode.PLATFORM_UNAVAILABLE,
            f"none of {len(peers[:MAX_PEERS])} entries that know the job answered",
            retry_after=RETRY_HINT,
        )
