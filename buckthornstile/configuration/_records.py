"""How the configuration stands in a keyed topic of the store.

Each item is a record of its own. One append holds all items that a change puts or
drops and, as the last record, a note of the change, so that a reader who has come to
the end of the topic has seen every change whole.
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

KEPT_CHANGES = 64
"""Notes of changes that are kept for the history and for retries."""
ITEM_PREFIX = "item/"
CHANGE_PREFIX = "change/"
KEY_DIGEST_BYTES = 16
_ITEM: TypeAdapter[ConfigurationItem] = TypeAdapter(ConfigurationItem)


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """A record of the topic; an empty value drops the key."""

    key: str
    value: bytes


class ChangeSummary(BaseModel):
    """What is kept of an accepted change.

    Args:
        revision: The revision that it made.
        change_id: The same on every retry of the same change.
        operator: Who made it.
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
        The records, the note of the change last.

    Example:
        >>> change = ConfigurationChange(change_id="c1", base_revision=0)
        >>> [record.key for record in encode_change(change)]
        ['change/1']
    """
    revision = Revision(change.base_revision + 1)
    note = ChangeSummary(
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
        ConfigurationRecord(make_item_key(name.kind, name.name), b"")
        for name in change.remove
    ]
    key = f"{CHANGE_PREFIX}{revision % KEPT_CHANGES}"
    return [*records, ConfigurationRecord(key, note.model_dump_json().encode())]


def decode_item(value: bytes) -> ConfigurationItem:
    """Decodes an item.

    Raises:
        ValueError: It is no item.
    """
    return _ITEM.validate_json(value)


def make_item_key(kind: str, name: str) -> str:
    """Makes an item's key, short whatever its name.

    Example:
        >>> make_item_key("drain", "bench-a")
        'item/drain/6295cde10bca56c32e4879290ed85ebd'
    """
    digest = hashlib.blake2b(name.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()
    return f"{ITEM_PREFIX}{kind}/{digest}"
