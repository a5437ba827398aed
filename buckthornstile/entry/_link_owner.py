"""What a connection to an agent needs of its entry."""

import ssl
from collections.abc import Sequence
from typing import TYPE_CHECKING, Protocol

from buckthornstile.base import (
    Offset,
    Term,
)
from buckthornstile.wire import (
    Heartbeat,
    Identity,
    RelayedRecord,
)

if TYPE_CHECKING:
    from buckthornstile.entry._links import AgentLink


class LinkOwner(Protocol):
    """What a link needs of its entry."""

    identity: Identity
    secret: str
    connect_timeout: float
    heartbeat_timeout: float
    ssl_context: ssl.SSLContext | None

    def read_clock(self) -> float:
        """Gives the time, in seconds."""
        ...

    def make_heartbeat(self) -> Heartbeat:
        """Makes the entry's heartbeat."""
        ...

    def get_configuration_offset(self) -> Offset:
        """Gives the offset of the configuration in force here."""
        ...

    def get_relay(self, after: Offset) -> Sequence[RelayedRecord]:
        """Gives the configuration records after an offset."""
        ...

    def merge_relay(self, records: Sequence[RelayedRecord]) -> Offset | None:
        """Takes in configuration records."""
        ...

    def on_link_change(self, link: "AgentLink") -> None:
        """Hears that a link came up or went down."""
        ...

    def note_term(self, term: Term) -> None:
        """Hears a term that the agent knows."""
        ...
