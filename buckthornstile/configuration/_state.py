"""One process's configuration, built from the records in the store."""

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
    """Builds the configuration from the records of its topic.

    Records are collected as they are read, and take effect together once the reader
    has reached the end of the topic. The revision never decreases: an older state
    from the store is ignored.

    Example:
        >>> state = ConfigurationState()
        >>> state.commit(), state.current.revision
        (False, 0)
    """

    def __init__(self) -> None:
        self.current: Configuration = EMPTY_CONFIGURATION
        self._items: dict[str, ConfigurationItem] = {}
        self._summaries: dict[str, ChangeSummary] = {}
        self._last_offset = Offset(-1)

    def reset(self) -> None:
        """Discards the collected records, before the latest records are read again."""
        self._items.clear()
        self._summaries.clear()
        self._last_offset = Offset(-1)

    def apply(self, offset: Offset, key: str, value: bytes | None) -> None:
        """Collects a record.

        Args:
            offset: Its offset.
            key: Its key.
            value: Its value, or None if the key was deleted.

        Raises:
            ValueError: If the record does not belong to the configuration.
        """
        if key.startswith(ITEM_PREFIX):
            if value is None:
                self._items.pop(key, None)
            else:
                self._items[key] = decode_item(value)
        elif key.startswith(CHANGE_PREFIX) and value is not None:
            self._summaries[key] = ChangeSummary.model_validate_json(value)
            self._last_offset = max(self._last_offset, offset)
        elif not key.startswith(CHANGE_PREFIX):
            raise ValueError(f"key {key!r} is not the key of a configuration record")

    def commit(self) -> bool:
        """Puts the collected records in effect, at the end of the topic.

        Returns:
            Whether the configuration has changed to a newer revision.
        """
        revision = max(
            (summary.revision for summary in self._summaries.values()), default=0
        )
        if revision <= self.current.revision:
            return False
        self.current = make_configuration(
            self._items.values(), revision=revision, last_offset=self._last_offset
        )
        return True

    def find_revision(self, change_id: ChangeId) -> Revision | None:
        """Returns the revision that resulted from a recent change, or None."""
        for summary in self._summaries.values():
            if summary.change_id == change_id:
                return summary.revision
        return None

    def list_recent_changes(self) -> list[ChangeSummary]:
        """Returns the summaries of the recent changes, oldest first."""
        return sorted(self._summaries.values(), key=lambda summary: summary.revision)
