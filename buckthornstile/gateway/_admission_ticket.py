"""One call or stream on its way through the admission."""

import asyncio

from buckthornstile.base import AccountId, BuckthornstileError, ServiceName
from buckthornstile.gateway._admission_gate import AdmissionGate
from buckthornstile.messages import RoutedCall


class AdmissionTicket:
    """The admission of one call; without a gate, or while it is inactive, all is sent.

    Args:
        gate: Admits calls, or None.
        call: The call.
        service: The service that serves it.
    """

    def __init__(
        self, gate: AdmissionGate | None, call: RoutedCall, service: ServiceName
    ) -> None:
        # Calls that score the items of jobs follow the order of the items.
        self.gate = None if call.is_item_call else gate
        self.call = call
        self.service = service
        self.work = 0.0
        self.is_granted = False
        self.started_at: float | None = None

    async def acquire(self, *, is_retry: bool = False) -> None:
        """Returns once the call may be sent.

        Args:
            is_retry: Whether upstreams have refused the call before.

        Raises:
            BuckthornstileError: No upstream can serve the call before its deadline, or
                its key became invalid while it waited.
        """
        if self.gate is None or not self.gate.is_active(self.service):
            return
        self.withdraw()
        self.started_at = None
        self.work = await self.gate.acquire(self.call, self.service, is_retry=is_retry)
        self.is_granted = True
        if self.call.check_after_wait is not None:
            try:
                self.call.check_after_wait()
            except BaseException:
                self.withdraw()
                raise

    def confirm_start(self) -> None:
        """Records that the call was sent to an upstream."""
        if self.gate is not None and self.is_granted:
            self.is_granted = False
            self.started_at = asyncio.get_running_loop().time()
            account = self.call.account or AccountId("")
            self.gate.confirm_start(self.service, account, self.work)

    def withdraw(self) -> None:
        """Gives back the permission to start, if the call has not started."""
        if self.gate is not None and self.is_granted:
            self.is_granted = False
            self.gate.withdraw_start(self.service)

    def end(self, *, is_complete: bool) -> None:
        """Records the end of the call; only the first call has an effect."""
        self.withdraw()
        if self.gate is None or self.started_at is None:
            return
        seconds = asyncio.get_running_loop().time() - self.started_at
        self.started_at = None
        self.gate.record_end(
            self.service, self.call.route.name, seconds if is_complete else None
        )

    def refuse(self) -> BuckthornstileError | None:
        """Returns the error of a call that upstreams refused, or None if inactive."""
        if self.gate is None or not self.gate.is_active(self.service):
            return None
        return self.gate.refuse_after_refusals(self.call, self.service)
