"""The configuration as one process knows it, folded from the store's records."""

from buckthornstile.base import ChangeId, Offset, Revision
from buckthornstile.configuration._items import ConfigurationItem
from buckthornstile.configuration._model import (
    EMPTY_CONFIGURATION,
    Configuration,
    make_configuration,
)
from buckthornstile.configuration._records import (
    CHANGE_PREFIX,
    ITEM_PREFIX,
    ChangeSummary,
    decode_item,
)


class ConfigurationState:
    """Folds the records of the configuration's topic.

    Records are gathered as they come, and put in force together once the reader has
    come to the end of the topic. The configuration only moves forward: a store that
    answers with an older state changes nothing.

    Example:
        >>> fold = ConfigurationState()
        >>> fold.commit(), fold.current.revision
        (False, 0)
    """

    def __init__(self) -> None:
        self.current: Configuration = EMPTY_CONFIGURATION
        self._items: dict[str, ConfigurationItem] = {}
        self._notes: dict[str, ChangeSummary] = {}
        self._through = Offset(-1)

    def reset(self) -> None:
        """Forgets the gathered records, before the newest of all are read again."""
        self._items.clear()
        self._notes.clear()
        self._through = Offset(-1)

    def apply(self, offset: Offset, key: str, value: bytes | None) -> None:
        """Gathers one record.

        Args:
            offset: Its offset.
            key: Its key.
            value: Its value, or None if the key was dropped.

        Raises:
            ValueError: It is no record of the configuration.
        """
        if key.startswith(ITEM_PREFIX):
            if value is None:
                self._items.pop(key, None)
            else:
                self._items[key] = decode_item(value)
        elif key.startswith(CHANGE_PREFIX) and value is not None:
            self._notes[key] = ChangeSummary.model_validate_json(value)
            self._through = max(self._through, offset)
        elif not key.startswith(CHANGE_PREFIX):
            raise ValueError(f"key {key!r} names no record of the configuration")

    def commit(self) -> bool:
        """Puts what was gathered in force, at the end of the topic.

        Returns:
            Whether a newer configuration is in force now.
        """
        revision = max((note.revision for note in self._notes.values()), default=0)
        if revision <= self.current.revision:
            return False
        self.current = make_configuration(
            self._items.values(), revision=revision, last_offset=self._through
        )
        return True

    def find_revision(self, change_id: ChangeId) -> Revision | None:
        """Finds the revision that a recent change made, or None."""
        for note in self._notes.values():
            if note.change_id == change_id:
                return note.revision
        return None

    def list_recent_changes(self) -> list[ChangeSummary]:
        """Lists the recent changes, the oldest first."""
        return sorted(self._notes.values(), key=lambda note: note.revision)
