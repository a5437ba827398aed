"""The items of which the operators' configuration consists."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from buckthornstile.base import (
    AccountId,
    ChangeId,
    FailureDomain,
    KeyId,
    RequestClass,
    Revision,
    ServiceName,
)

ANY_ACCOUNT = AccountId("*")
ANY_TRAINER = "*"


class _Item(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class Account(_Item):
    """A client account.

    Args:
        name: The account's id.
        weight: Its share of contended upstreams, relative to other accounts.
        maximum_open: Open requests per entry above which calls are refused.

    Example:
        >>> Account(name="mill-7").weight
        1.0
    """

    kind: Literal["account"] = "account"
    name: AccountId
    weight: float = Field(default=1.0, gt=0, le=1000)
    maximum_open: int = Field(default=256, ge=1, le=100_000)


class ApiKey(_Item):
    """A client account's key, known by its digest only.

    Args:
        name: The key's public id.
        account: The account that it stands for.
        digest: SHA-256 of the key, 64 hexadecimal digits.
        withdrawn: Whether the key has stopped working. Never reverts.

    Example:
        >>> ApiKey(name="k1", account="mill-7", digest="0" * 64).withdrawn
        False
    """

    kind: Literal["key"] = "key"
    name: KeyId
    account: AccountId
    digest: str = Field(pattern=r"^[0-9a-f]{64}$")
    withdrawn: bool = False


class OpenRoute(_Item):
    """A route that needs no key.

    Args:
        name: The path, from its first slash.
        service: The service that serves it.
        account: The client account that its usage is billed to.
        request_class: Who waits on it.
        idempotent: Whether its calls may be repeated.

    Example:
        >>> OpenRoute(name="/v1/hours", service="shop-desk", account="open").idempotent
        True
    """

    kind: Literal["open_route"] = "open_route"
    name: str = Field(pattern=r"^/")
    service: ServiceName
    account: AccountId
    request_class: RequestClass = RequestClass.INTERACTIVE
    idempotent: bool = True


class Rule(_Item):
    """Which service serves which caller or trainer on a route, and how.

    The most specific rule wins: longest path first, then a named account over
    any, then a named trainer over any.

    Args:
        name: The rule's own name.
        path: The path prefix that it holds for, from its first slash.
        account: The client account, or ``*`` for any.
        trainer: The trainer, or ``*`` for any.
        service: The service that serves it.
        request_class: Who waits on it.
        idempotent: Whether its calls may be repeated.
        maximum_age: Weight versions that a sample may be behind its trainer.

    Example:
        >>> Rule(name="r", path="/v1/completions", service="m").maximum_age
        1
    """

    kind: Literal["rule"] = "rule"
    name: str
    path: str = Field(pattern=r"^/")
    account: AccountId = ANY_ACCOUNT
    trainer: str = ANY_TRAINER
    service: ServiceName
    request_class: RequestClass = RequestClass.INTERACTIVE
    idempotent: bool = False
    maximum_age: int = Field(default=1, ge=0, le=1000)


class Drain(_Item):
    """A failure domain that gets no new work.

    Args:
        name: The failure domain.
        reason: Why, for other operators.

    Example:
        >>> Drain(name="bench-a").kind
        'drain'
    """

    kind: Literal["drain"] = "drain"
    name: FailureDomain
    reason: str = ""


ConfigurationItem = Annotated[
    Account | ApiKey | OpenRoute | Rule | Drain, Field(discriminator="kind")
]
ItemKind = Literal["account", "key", "open_route", "rule", "drain"]


class ItemReference(_Item):
    """The kind and name by which an item is removed.

    Example:
        >>> ItemReference(kind="drain", name="bench-a").name
        'bench-a'
    """

    kind: ItemKind
    name: str


class ConfigurationChange(BaseModel):
    """One operator's change, whole: accepted or rejected by the fold as one.

    Args:
        change_id: The same on every retry of the same change.
        base_revision: The revision that the change was worked out from.
        put: Items to add or replace.
        remove: Items to remove.
        operator: Who made the change.

    Example:
        >>> ConfigurationChange(change_id="c1", base_revision=0).put
        ()
    """

    model_config = ConfigDict(frozen=True)
    kind: Literal["configuration.change"] = "configuration.change"
    change_id: ChangeId
    base_revision: Revision
    put: tuple[ConfigurationItem, ...] = ()
    remove: tuple[ItemReference, ...] = ()
    operator: str = ""
