"""Items of the operators' configuration."""

from enum import Enum
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
        weight: Its share of an overloaded upstream, relative to other accounts.
        maximum_open: Maximum number of open requests at one entry; more are refused.

    Example:
        >>> Account(name="mill-7").weight
        1.0
    """

    kind: Literal["account"] = "account"
    name: AccountId
    weight: float = Field(default=1.0, gt=0, le=1000)
    maximum_open: int = Field(default=256, ge=1, le=100_000)


class ApiKey(_Item):
    """A client account's key, of which only the digest is stored.

    Args:
        name: The key's public id.
        account: The account to which it belongs.
        digest: SHA-256 of the key, 64 hexadecimal digits.
        withdrawn: Whether the key has been withdrawn, which cannot be undone.

    Example:
        >>> ApiKey(name="k1", account="mill-7", digest="0" * 64).withdrawn
        False
    """

    kind: Literal["key"] = "key"
    name: KeyId
    account: AccountId
    digest: str = Field(pattern=r"^[0-9a-f]{64}$")
    withdrawn: bool = False


class KeyState(Enum):
    """Whether work under a key may go on.

    ``UNVERIFIED`` is the state of a key that an outdated configuration does not tell:
    work stops until it is known, but nothing final may follow from it.
    """

    VALID = "valid"
    UNVERIFIED = "unverified"
    WITHDRAWN = "withdrawn"


class OpenRoute(_Item):
    """A route that needs no key.

    Args:
        name: The path, with its leading slash.
        service: The service that serves it.
        account: The client account that its usage is billed to.
        request_class: Class of the requests, which determines their order of service.
        idempotent: Whether its requests may be executed more than once.

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
    """Assigns requests to a service by path, client account and trainer.

    The most specific rule applies: the one with the longest path, then one for a
    named account, then one for a named trainer.

    Args:
        name: The rule's name.
        path: The path prefix to which it applies, with its leading slash.
        account: The client account, or ``*`` for any.
        trainer: The trainer, or ``*`` for any.
        service: The service that serves the requests.
        request_class: Class of the requests, which determines their order of service.
        idempotent: Whether its requests may be executed more than once.
        maximum_age: Number of weight versions by which a sample may be behind its
            trainer.

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
    """A failure domain that receives no new requests.

    Args:
        name: The failure domain.
        reason: Reason for the drain, shown to other operators.

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
    """Reference to an item, by its kind and name.

    Example:
        >>> ItemReference(kind="drain", name="bench-a").name
        'bench-a'
    """

    kind: ItemKind
    name: str


class ConfigurationChange(BaseModel):
    """An operator's change, which is accepted or rejected as a whole.

    Args:
        change_id: Id of the change, the same in every retry.
        base_revision: The revision on which the change is based.
        put: Items to add or replace.
        remove: Items to remove.
        operator: Name of the operator who made the change.

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
