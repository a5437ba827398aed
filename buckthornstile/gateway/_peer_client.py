"""Passes requests on to entries that follow their partition."""

import asyncio

from buckthornstile.base import BuckthornstileError, ErrorCode, ProcessName
from buckthornstile.gateway._partition_assignment import PartitionAssignment
from buckthornstile.gateway._presence import PresenceTable
from buckthornstile.http_client import ConnectionPool
from buckthornstile.logs import log_event
from buckthornstile.messages import ClientRequest, Response
from buckthornstile.platform import decode_forwarded_response, encode_forwarded_request

FORWARD_TIME = 0.6
"""Seconds for a peer to answer, beyond what the request asks to be held."""
MAX_PEERS = 3
"""Peers that are asked one after the other."""
RETRY_AFTER_SECONDS = 0.1


class PeerClient:
    """Passes clients' requests about jobs on.

    Args:
        name: This process's name.
        assignment: Which entries follow which partitions.
        presence: Where they listen for each other.
        pool: Connections to them.
    """

    def __init__(
        self,
        name: ProcessName,
        assignment: PartitionAssignment,
        presence: PresenceTable,
        pool: ConnectionPool,
    ) -> None:
        self.name = name
        self.assignment = assignment
        self.presence = presence
        self.pool = pool

    async def forward(self, request: ClientRequest, part: int) -> Response:
        """Passes a request on until a peer answers it.

        Args:
            request: A request that may be repeated.
            part: The partition that it concerns.

        Raises:
            BuckthornstileError: No peer gave an answer.
        """
        peers = [
            name for name in self.assignment.list_assigned(part) if name != self.name
        ]
        for peer in peers[:MAX_PEERS]:
            address = self.presence.get_address(peer)
            if not address:
                continue
            try:
                async with asyncio.timeout(FORWARD_TIME + request.wait):
                    answer = await self.pool.send(
                        address, encode_forwarded_request(request)
                    )
            except (TimeoutError, BuckthornstileError) as error:
                log_event(
                    "peer.failed", request=request.id, peer=peer, reason=repr(error)
                )
                self.pool.close_idle(address)
                continue
            return decode_forwarded_response(answer)
        raise BuckthornstileError(
            ErrorCode.PLATFORM_UNAVAILABLE,
            f"none of {len(peers[:MAX_PEERS])} entries that know the job answered",
            retry_after=RETRY_AFTER_SECONDS,
        )
