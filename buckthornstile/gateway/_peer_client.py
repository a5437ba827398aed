"""Forwards requests about a job to the entries assigned to the job's partition."""

import asyncio
from dataclasses import dataclass

from buckthornstile.base import BuckthornstileError, ErrorCode, ProcessName
from buckthornstile.gateway._partition_assignment import PartitionAssignment
from buckthornstile.gateway._presence import PresenceTable
from buckthornstile.http_client import ConnectionPool
from buckthornstile.logs import log_event
from buckthornstile.messages import ClientRequest, KeyDecision, Response
from buckthornstile.platform import (
    decode_forwarded_response,
    decode_key_decision,
    decode_responder,
    encode_forwarded_request,
)

FORWARD_TIMEOUT = 0.6
"""Seconds in which a peer must respond, beyond the wait that the request states."""
MAX_PEER_ATTEMPTS = 3
"""Maximum number of peers that a request is sent to, one after the other."""
REFUSAL_STATUS = 503
"""Status of a peer that cannot serve the request now, and has not run it."""
RETRY_AFTER_SECONDS = 0.1
"""Seconds after which a client may retry a request that no peer responded to."""


@dataclass(frozen=True, slots=True)
class PeerResponse:
    """The response of another entry, and what it has decided about the key.

    Attributes:
        response: The response for the client.
        decision: The decision, or None if the entry is of a release that states none.
    """

    response: Response
    decision: KeyDecision | None


class PeerClient:
    """Forwards clients' requests about jobs to other entries.

    Args:
        name: This process's name.
        assignment: Assigns partitions to entries.
        presence: Knows the addresses of the other entries.
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

    async def forward(
        self,
        request: ClientRequest,
        part: int,
        decision: KeyDecision,
        *,
        accepts_earlier_release: bool,
    ) -> PeerResponse:
        """Forwards a request to one peer after another until one serves it.

        A refusal as not run is final only if no other peer serves the request.

        Args:
            request: An idempotent request, as it may be sent to several peers.
            part: The partition of the job.
            decision: What this process has decided about the key of the request.
            accepts_earlier_release: Whether a response may be used that does not state
                the peer's decision.

        Raises:
            BuckthornstileError: No peer returned a response; ``CONFIGURATION_OLD`` if
                peers of an earlier release did, which cannot be used yet.
        """
        loop = asyncio.get_running_loop()
        peers = [
            name for name in self.assignment.list_assigned(part) if name != self.name
        ]
        refusal: PeerResponse | None = None
        has_earlier_release = False
        for peer in peers[:MAX_PEER_ATTEMPTS]:
            started_at = loop.time()
            answer = await self._ask(peer, request, decision)
            if answer is None:
                continue
            if answer.decision is None and not accepts_earlier_release:
                has_earlier_release = True
                continue
            if answer.response.status != REFUSAL_STATUS:
                return answer
            # Another peer may serve the request, but the client does not wait longer
            # than one attempt takes.
            refusal = answer
            if loop.time() - started_at > FORWARD_TIMEOUT:
                break
        if refusal is not None:
            return refusal
        if has_earlier_release:
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_OLD,
                "the entries that responded may have an older configuration",
                retry_after=RETRY_AFTER_SECONDS,
            )
        raise BuckthornstileError(
            ErrorCode.PLATFORM_UNAVAILABLE,
            f"none of {len(peers[:MAX_PEER_ATTEMPTS])} entries assigned to the job's "
            "partition responded",
            retry_after=RETRY_AFTER_SECONDS,
        )

    async def _ask(
        self, peer: ProcessName, request: ClientRequest, decision: KeyDecision
    ) -> PeerResponse | None:
        """Forwards a request to one peer; returns None if it does not respond."""
        address = self.presence.get_address(peer)
        if not address:
            return None
        try:
            async with asyncio.timeout(FORWARD_TIMEOUT + request.wait):
                response = await self.pool.send(
                    address, encode_forwarded_request(request, decision)
                )
            # The address of an entry that has ended may be in use again.
            if decode_responder(response) != peer:
                raise BuckthornstileError(
                    ErrorCode.ANSWER_CROSSED, f"{address} is not entry {peer!r}"
                )
        except (TimeoutError, BuckthornstileError) as error:
            log_event("peer.failed", request=request.id, peer=peer, reason=repr(error))
            self.pool.close_idle(address)
            return None
        peer_decision = decode_key_decision(tuple(response.headers.get_all()))
        if response.status != 200:
            log_event(
                "peer.refused",
                request=request.id,
                peer=peer,
                status=response.status,
                version=peer_decision.version if peer_decision else None,
                own_version=decision.version,
            )
        return PeerResponse(decode_forwarded_response(response), peer_decision)
