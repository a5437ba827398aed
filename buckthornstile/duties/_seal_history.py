"""Which usage windows may have a seal that this process has not read."""


class SealHistory:
    """Tracks whether the seals that were read are all seals of a window.

    The store may drop the records of the duty topic. A window that ended before then
    may have been sealed and reported, so it must not be sealed again. Windows are
    sealed in ascending order, so the first new seal that is read after the loss shows
    that the seals of later windows are not among the dropped ones.

    Example:
        >>> history = SealHistory()
        >>> history.record_loss(100.0)
        >>> history.is_complete(7, 99.0), history.is_complete(8, 104.0)
        (False, True)
    """

    def __init__(self) -> None:
        self._lost_at: float | None = None
        self._first_window: int | None = None

    def record_loss(self, now: float) -> None:
        """Records that records of the topic were dropped before they were read."""
        self._lost_at, self._first_window = now, None

    def record_new_seal(self, window: int) -> None:
        """Records a seal that was read, which is the first of its window."""
        if self._first_window is None:
            self._first_window = window

    def is_complete(self, window: int, ended_at: float) -> bool:
        """Whether a window without a known seal has none.

        Args:
            window: Number of the window.
            ended_at: Clock reading at the window's end, in seconds.
        """
        if self._lost_at is None or ended_at > self._lost_at:
            return True
        return self._first_window is not None and window >= self._first_window
