"""Implements the commands ``keys add|withdraw``, ``drain`` and ``restore``."""

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
    CommandContext,
    make_change_id,
    make_configuration_client,
    make_context,
    wait_and_report_change,
)
from buckthornstile.commands._submit import ChangeFactory, submit_change
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
    """Creates an API key for a client account and prints its clear text once.

    With ``--name`` the command is idempotent: if the account already has a key of
    that name, the key stays and its clear text is not printed again.

    Args:
        account: Name of the client account.
        name: Public id of the key; generated from the account's name if left out.
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout, entries, wait_timeout,
            operator.
    """
    context = make_context(flags, json)
    key = generate_api_key(
        AccountId(account), token_bytes=secrets.token_bytes, name=name
    )
    change_id = make_change_id()

    def build_change(configuration: Configuration) -> ConfigurationChange | None:
        existing = configuration.keys.get(key.item.name)
        if existing is not None and existing.digest != key.item.digest:
            _check_same_account(existing.account, key.item.account, existing.withdrawn)
            return None
        return ConfigurationChange(
            change_id=change_id,
            base_revision=configuration.revision,
            put=(key.item,),
            operator=context.settings.operator,
        )

    async def run() -> None:
        client = make_configuration_client(context)
        result = await submit_change(client, build_change)
        is_new = result.changed
        await wait_and_report_change(
            context,
            result,
            description=f"key {key.item.name}",
            data={"keys": {key.item.name: key.clear} if is_new else {}},
            lines=[f"key {key.item.name}: {key.clear}"] if is_new else [],
        )

    asyncio.run(run())


def withdraw_key(name: str, *, json: object = False, **flags: object) -> None:
    """Withdraws an API key permanently and waits until the entries reject it.

    Args:
        name: Public id of the key.
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout, entries, wait_timeout,
            operator.
    """
    context = make_context(flags, json)

    def build_item(configuration: Configuration) -> ConfigurationItem | None:
        key = configuration.keys.get(KeyId(name))
        if key is None:
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_INVALID, f"key {name} does not exist"
            )
        return None if key.withdrawn else key.model_copy(update={"withdrawn": True})

    _run_change(
        context,
        _make_put_factory(context, build_item),
        description=f"withdrawal of {name}",
    )


def drain(
    failure_domain: str,
    *,
    reason: str = "",
    json: object = False,
    **flags: object,
) -> None:
    """Drains a failure domain, so that it gets no new work.

    Args:
        failure_domain: Name of the failure domain.
        reason: Reason of the drain, for other operators.
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout, entries, wait_timeout,
            operator.
    """
    context = make_context(flags, json)
    name = FailureDomain(failure_domain)

    def build_item(configuration: Configuration) -> ConfigurationItem | None:
        if configuration.is_drained(name):
            return None
        return Drain(name=name, reason=reason)

    _run_change(
        context, _make_put_factory(context, build_item), description=f"drain of {name}"
    )


def restore(failure_domain: str, *, json: object = False, **flags: object) -> None:
    """Restores a drained failure domain, so that it gets new work again.

    Args:
        failure_domain: Name of the failure domain.
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout, entries, wait_timeout,
            operator.
    """
    context = make_context(flags, json)
    name = FailureDomain(failure_domain)
    change_id = make_change_id()

    def build_change(configuration: Configuration) -> ConfigurationChange | None:
        if not configuration.is_drained(name):
            return None
        return ConfigurationChange(
            change_id=change_id,
            base_revision=configuration.revision,
            remove=(ItemReference(kind="drain", name=name),),
            operator=context.settings.operator,
        )

    _run_change(context, build_change, description=f"restore of {name}")


def _make_put_factory(
    context: CommandContext,
    build_item: Callable[[Configuration], ConfigurationItem | None],
) -> ChangeFactory:
    """Returns a factory of the change that puts one item into the configuration."""
    change_id = make_change_id()

    def build_change(configuration: Configuration) -> ConfigurationChange | None:
        item = build_item(configuration)
        if item is None:
            return None
        return ConfigurationChange(
            change_id=change_id,
            base_revision=configuration.revision,
            put=(item,),
            operator=context.settings.operator,
        )

    return build_change


def _run_change(
    context: CommandContext, build_change: ChangeFactory, *, description: str
) -> None:
    async def run() -> None:
        client = make_configuration_client(context)
        result = await submit_change(client, build_change)
        await wait_and_report_change(context, result, description=description)

    asyncio.run(run())


def _check_same_account(
    current: AccountId, requested: AccountId, withdrawn: bool
) -> None:
    if current != requested or withdrawn:
        state = "is withdrawn" if withdrawn else f"belongs to account {current}"
        raise BuckthornstileError(
            ErrorCode.CONFIGURATION_INVALID,
            f"a key of that name already exists and {state}",
        )
