"""Encoding of the configuration as records of a keyed topic in the store.

Each item is a separate record. All records of a change are written in one append, with
the summary of the change last, so that a reader that has reached the end of the topic
has read every change completely.
"""

import hashlib
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, TypeAdapter

from buckthornstile.base import ChangeId, Revision
from buckthornstile.configuration._items import (
    ConfigurationChange,
    ConfigurationItem,
    ItemReference,
)

MAX_RETAINED_CHANGES = 64
"""Number of summaries that are kept, for the history and to recognise retries."""
ITEM_PREFIX = "item/"
CHANGE_PREFIX = "change/"
KEY_DIGEST_BYTES = 16
"""Bytes of the digest of an item's name in the key of its record."""
_ITEM: TypeAdapter[ConfigurationItem] = TypeAdapter(ConfigurationItem)


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """A record of the topic; an empty value deletes the key."""

    key: str
    value: bytes


class ChangeSummary(BaseModel):
    """Summary of an accepted change.

    Args:
        revision: The revision that resulted from it.
        change_id: Id of the change, the same in every retry.
        operator: Name of the operator who made it.
        put: Kind and name of each item added or replaced.
        remove: Kind and name of each item removed.

    Example:
        >>> ChangeSummary(revision=1, change_id="c1").put
        ()
    """

    model_config = ConfigDict(frozen=True)
    revision: Revision
    change_id: ChangeId
    operator: str = ""
    put: tuple[ItemReference, ...] = ()
    remove: tuple[ItemReference, ...] = ()


def encode_change(change: ConfigurationChange) -> list[ConfigurationRecord]:
    """Encodes an accepted change as the records of one append.

    Args:
        change: The change, checked against its base revision.

    Returns:
        The records, with the summary of the change last.

    Example:
        >>> change = ConfigurationChange(change_id="c1", base_revision=0)
        >>> [record.key for record in encode_change(change)]
        ['change/1']
    """
    revision = Revision(change.base_revision + 1)
    summary = ChangeSummary(
        revision=revision,
        change_id=change.change_id,
        operator=change.operator,
        put=tuple(ItemReference(kind=item.kind, name=item.name) for item in change.put),
        remove=change.remove,
    )
    records = [
        ConfigurationRecord(make_item_key(item.kind, item.name), _ITEM.dump_json(item))
        for item in change.put
    ]
    records += [
        ConfigurationRecord(make_item_key(reference.kind, reference.name), b"")
        for reference in change.remove
    ]
    key = f"{CHANGE_PREFIX}{revision % MAX_RETAINED_CHANGES}"
    return [*records, ConfigurationRecord(key, summary.model_dump_json().encode())]


def decode_item(value: bytes) -> ConfigurationItem:
    """Decodes an item.

    Raises:
        ValueError: If the value is not an item.
    """
    return _ITEM.validate_json(value)


def make_item_key(kind: str, name: str) -> str:
    """Returns the key of an item's record, whose length does not depend on the name.

    Example:
        >>> make_item_key("drain", "bench-a")
        'item/drain/6295cde10bca56c32e4879290ed85ebd'
    """
    digest = hashlib.blake2b(name.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()
    return f"{ITEM_PREFIX}{kind}/{digest}"
