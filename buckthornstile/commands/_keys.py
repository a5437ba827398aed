"""The commands ``keys add|withdraw``, ``drain`` and ``restore``."""

import asyncio
import secrets
from collections.abc import Callable

from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ErrorCode,
    FailureDomain,
    KeyId,
)
from buckthornstile.commands._context import (
    Context,
    make_change_id,
    make_context,
    make_reader,
    wait_and_report_change,
)
from buckthornstile.commands._submit import MakeChange, submit_change
from buckthornstile.configuration import (
    Configuration,
    ConfigurationChange,
    ConfigurationItem,
    Drain,
    ItemReference,
    generate_api_key,
)


def add_key(
    account: str,
    *,
    name: str = "",
    json: object = False,
    **flags: object,
) -> None:
    """Makes a key for a client account and prints its clear text once.

    With ``--name`` the command is idempotent: a key of that name that exists for
    the account is left as it is, and its clear text is not shown again.

    Args:
        account: The client account.
        name: The key's public id; made from the account's name if left out.
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout, entries, wait_timeout,
            operator.
    """
    context = make_context(flags, json)
    key = generate_api_key(
        AccountId(account), token_bytes=secrets.token_bytes, name=name
    )
    change_id = make_change_id()

    def make(configuration: Configuration) -> ConfigurationChange | None:
        before = configuration.keys.get(key.item.name)
        if before is not None and before.digest != key.item.digest:
            _check_same_account(before.account, key.item.account, before.withdrawn)
            return None
        return ConfigurationChange(
            change_id=change_id,
            base_revision=configuration.revision,
            put=(key.item,),
            operator=context.settings.operator,
        )

    async def run() -> None:
        reader = make_reader(context)
        result = await submit_change(reader, make)
        shown = result.changed
        await wait_and_report_change(
            context,
            result,
            what=f"key {key.item.name}",
            data={"keys": {key.item.name: key.clear} if shown else {}},
            lines=[f"key {key.item.name}: {key.clear}"] if shown else [],
        )

    asyncio.run(run())


def withdraw_key(name: str, *, json: object = False, **flags: object) -> None:
    """Withdraws a key for good and waits until it has stopped working.

    Args:
        name: The key's public id.
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout, entries, wait_timeout,
            operator.
    """
    context = make_context(flags, json)

    def change(configuration: Configuration) -> ConfigurationItem | None:
        key = configuration.keys.get(KeyId(name))
        if key is None:
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_INVALID, f"key {name} does not exist"
            )
        return None if key.withdrawn else key.model_copy(update={"withdrawn": True})

    _run_change(context, _make_put(context, change), what=f"withdrawal of {name}")


def drain(
    failure_domain: str,
    *,
    reason: str = "",
    json: object = False,
    **flags: object,
) -> None:
    """Takes a failure domain out: it gets no new work.

    Args:
        failure_domain: The failure domain.
        reason: Why, for other operators.
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout, entries, wait_timeout,
            operator.
    """
    context = make_context(flags, json)
    name = FailureDomain(failure_domain)

    def change(configuration: Configuration) -> ConfigurationItem | None:
        if configuration.is_drained(name):
            return None
        return Drain(name=name, reason=reason)

    _run_change(context, _make_put(context, change), what=f"drain of {name}")


def restore(failure_domain: str, *, json: object = False, **flags: object) -> None:
    """Brings a drained failure domain back.

    Args:
        failure_domain: The failure domain.
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout, entries, wait_timeout,
            operator.
    """
    context = make_context(flags, json)
    name = FailureDomain(failure_domain)
    change_id = make_change_id()

    def make(configuration: Configuration) -> ConfigurationChange | None:
        if not configuration.is_drained(name):
            return None
        return ConfigurationChange(
            change_id=change_id,
            base_revision=configuration.revision,
            remove=(ItemReference(kind="drain", name=name),),
            operator=context.settings.operator,
        )

    _run_change(context, make, what=f"restore of {name}")


def _make_put(
    context: Context, choose: Callable[[Configuration], ConfigurationItem | None]
) -> MakeChange:
    change_id = make_change_id()

    def make(configuration: Configuration) -> ConfigurationChange | None:
        item = choose(configuration)
        if item is None:
            return None
        return ConfigurationChange(
            change_id=change_id,
            base_revision=configuration.revision,
            put=(item,),
            operator=context.settings.operator,
        )

    return make


def _run_change(context: Context, make: MakeChange, *, what: str) -> None:
    async def run() -> None:
        reader = make_reader(context)
        result = await submit_change(reader, make)
        await wait_and_report_change(context, result, what=what)

    asyncio.run(run())


def _check_same_account(before: AccountId, wanted: AccountId, withdrawn: bool) -> None:
    if before != wanted or withdrawn:
        state = "is withdrawn" if withdrawn else f"belongs to {before}"
        raise BuckthornstileError(
            ErrorCode.CONFIGURATION_INVALID, f"a key of that name exists and {state}"
        )
