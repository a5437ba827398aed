"""Decides for which client account a request is handled.

Two entries may take part in a request about a job: the one that the client asks, and
one that it forwards the request to. Either may have the older configuration. The
request is handled under the newer of the two, and the key is checked again after each
wait.
"""

from collections.abc import Callable

from buckthornstile.base import AccountId, BuckthornstileError, ErrorCode
from buckthornstile.gateway._topology_watcher import TopologyWatcher
from buckthornstile.logs import log_event
from buckthornstile.messages import KeyDecision
from buckthornstile.topology import PlatformConfiguration

KEY_BOUND_FRACTION = 0.9
"""Fraction of ``key_bound`` that the configuration's age may reach before keys are
refused."""
NO_VERSION = -1
"""Stands for the version of the configuration where none has been loaded."""
RETRY_AFTER_SECONDS = 0.1
"""Seconds after which a client may retry a request whose key could not be checked."""


class KeyChecker:
    """Looks up API keys in the configuration in effect.

    Args:
        topology_watcher: Keeps the configuration up to date.
        clock: Returns the time in seconds; it must advance while the VM is suspended.
        key_bound: Seconds within which a withdrawn key must stop working.
        fails_closed: Whether all keys are refused while the configuration is too old
            (``KEY_BOUND_FRACTION``).
    """

    def __init__(
        self,
        topology_watcher: TopologyWatcher,
        *,
        clock: Callable[[], float],
        key_bound: float,
        fails_closed: bool,
    ) -> None:
        self.topology_watcher = topology_watcher
        self.clock = clock
        self.key_bound = key_bound
        self.fails_closed = fails_closed
        self._newest_version = NO_VERSION

    def record_version(self, version: int) -> None:
        """Records that another entry knows a version of the configuration."""
        self._newest_version = max(self._newest_version, version)

    def check_newest(self) -> None:
        """Checks that no other entry is known to have a newer configuration.

        Before a key or a route is called unknown, which clients take for final.

        Raises:
            BuckthornstileError: ``CONFIGURATION_OLD``.
        """
        version = self.get_configuration().version
        if version < self._newest_version:
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_OLD,
                f"configuration {self._newest_version} has not been read yet",
                retry_after=RETRY_AFTER_SECONDS,
            )

    def get_configuration(self) -> PlatformConfiguration:
        """Returns the configuration in effect.

        Raises:
            BuckthornstileError: ``CONFIGURATION_MISSING``.
        """
        configuration = self.topology_watcher.view.configuration
        if configuration is None:
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_MISSING,
                "no configuration has been loaded yet",
                retry_after=RETRY_AFTER_SECONDS,
            )
        return configuration

    def find_account(
        self,
        key: str | None,
        *,
        allows_anonymous: bool = False,
        checks_age: bool = True,
    ) -> AccountId | None:
        """Returns the client account of a key, or None if no key is needed.

        Args:
            key: The API key of a request, or None if it has none.
            allows_anonymous: Whether the request needs no key.
            checks_age: Whether the configuration must be recent.

        Raises:
            BuckthornstileError: The key is missing or unknown, or the configuration is
                missing or too old.
        """
        configuration = self.get_configuration()
        if allows_anonymous or not configuration.accounts:
            return None
        if checks_age:
            self.check_age()
        if not key:
            raise BuckthornstileError(
                ErrorCode.KEY_MISSING, "the request has no API key"
            )
        account = self.topology_watcher.view.find_account(key)
        if account is None:
            self.check_newest()
            raise BuckthornstileError(ErrorCode.KEY_UNKNOWN, "the API key is unknown")
        return account.name

    def check_age(self) -> None:
        """Checks that the configuration is recent enough to rely on its keys.

        Raises:
            BuckthornstileError: ``CONFIGURATION_OLD``.
        """
        age = self.topology_watcher.operator_consumer.get_staleness()
        if self.fails_closed and age > KEY_BOUND_FRACTION * self.key_bound:
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_OLD,
                f"the configuration is {age:.1f} s old, too old to accept a key",
                retry_after=RETRY_AFTER_SECONDS,
            )

    def is_known_to_all(self) -> bool:
        """Whether each entry that accepts keys now has this configuration or a newer.

        The age limit for keys bounds how far another entry may be behind.
        """
        age = self.clock() - self.topology_watcher.configuration_applied_at
        return self.fails_closed and age > KEY_BOUND_FRACTION * self.key_bound


class RequestKey:
    """The API key of one request, which is checked again after each wait.

    Args:
        checker: Looks up the key.
        key: The API key, or None if the request has none.
        allows_anonymous: Whether the request needs no key.
        stated: What the entry that forwarded the request has decided, or None.
    """

    def __init__(
        self,
        checker: KeyChecker,
        key: str | None,
        *,
        allows_anonymous: bool = False,
        stated: KeyDecision | None = None,
    ) -> None:
        self.checker = checker
        self.key = key
        self.allows_anonymous = allows_anonymous
        self.stated = stated
        self.decision: KeyDecision | None = None
        self._is_stated_logged = False
        self._was_sent = False

    def check(self) -> KeyDecision:
        """Decides for which client account the request is handled from now on.

        Raises:
            BuckthornstileError: The key is missing or unknown, or the configuration is
                missing or too old; ``CONFIGURATION_CHANGED`` if the key belongs to
                another account than at the last check.
        """
        previous, self.decision = self.decision, None
        decision = self._decide()
        if previous is not None and previous.account != decision.account:
            raise _make_changed_error()
        self.decision = decision
        return decision

    def check_before_send(self) -> None:
        """Checks the key just before the request is sent to an upstream.

        The first send needs a recent configuration. The request may be sent again in an
        outage of the store, unless it is known that the key is no longer valid.

        Raises:
            BuckthornstileError: As for ``check``.
        """
        if not self._was_sent:
            self.check()
            self._was_sent = True
            return
        account = self.checker.find_account(
            self.key, allows_anonymous=self.allows_anonymous, checks_age=False
        )
        if self.decision is None or account != self.decision.account:
            raise _make_changed_error()

    def _decide(self) -> KeyDecision:
        version = self.checker.get_configuration().version
        if self.stated is not None:
            self.checker.record_version(self.stated.version)
        if self.stated is not None and self.stated.version > version:
            # A change that neither entry knows of is more recent than the latest read
            # of this process, so that the age limit holds for the other's decision.
            self.checker.check_age()
            self._log_stated_decision(self.stated.version, version)
            return self.stated
        account = self.checker.find_account(
            self.key, allows_anonymous=self.allows_anonymous
        )
        return KeyDecision(account, version)

    def _log_stated_decision(self, stated_version: int, version: int) -> None:
        if self._is_stated_logged:
            return
        self._is_stated_logged = True
        log_event(
            "key.decided_by_peer",
            version=stated_version,
            own_version=version,
            age=self.checker.topology_watcher.operator_consumer.get_staleness(),
        )

    def get_last_decision(self) -> KeyDecision:
        """Returns the latest decision, without an account if the key was refused."""
        if self.decision is not None:
            return self.decision
        configuration = self.checker.topology_watcher.view.configuration
        version = configuration.version if configuration else NO_VERSION
        if self.stated is not None:
            version = max(version, self.stated.version)
        return KeyDecision(None, version)

    def confirm(self, peer_decision: KeyDecision | None) -> None:
        """Checks that a response of another entry may be passed on to the client.

        Args:
            peer_decision: What the other entry has decided, or None if it stated
                nothing.

        Raises:
            BuckthornstileError: The key is no longer valid, or the response was made
                under an older configuration that decides otherwise.
        """
        configuration = self.checker.get_configuration()
        if peer_decision is None:
            self.check()
            return
        self.checker.record_version(peer_decision.version)
        if peer_decision.version < configuration.version:
            if peer_decision.account != self.check().account:
                raise _make_changed_error()
        elif configuration.accounts:
            self.checker.check_age()


def _make_changed_error() -> BuckthornstileError:
    return BuckthornstileError(
        ErrorCode.CONFIGURATION_CHANGED,
        "the API key was assigned to another client account during the request",
        retry_after=RETRY_AFTER_SECONDS,
    )
