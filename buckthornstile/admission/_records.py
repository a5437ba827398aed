"""Records by which entries share accounts' rates and the returns of refused callers."""

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from buckthornstile.admission._reservations import (
    MAX_RETRY_DELAY,
    MAX_SHARED_RESERVATIONS,
)
from buckthornstile.admission._shares import AccountRates
from buckthornstile.base import AccountId, ProcessName, ServiceName, parse_json

MAX_RECORD_BYTES = 2048
"""Maximum size of an encoded record; the smallest parts are left out beyond it."""
MAX_SHARED_ACCOUNTS = 16
"""Number of the largest accounts, over all services, that a record names."""
MAX_SERVICES = 32
"""Number of services that a record may hold."""
MAX_RATE = 1e5
"""Seconds of work per second that one entry can start or be asked for."""
MAX_REST_ACCOUNTS = 10_000
RECORD_FIELD = "admission"
"""Field that distinguishes the record from those of other kinds."""


@dataclass(frozen=True, slots=True)
class SharedReturn:
    """A return of a refused caller: account, digest of the path, delay in seconds."""

    account: AccountId
    digest: str
    delay: float


@dataclass(frozen=True, slots=True)
class ServiceRecord:
    """What an entry shares about one service.

    Args:
        accounts: Rates of its largest accounts.
        rest_count: Number of its other accounts.
        rest: Sum of the rates of the other accounts.
        returns: The newest returns that it has reserved.
        was_refused: Whether it observed itself, lately, that the service lacks slots;
            only then does the record make other entries admit requests.
    """

    accounts: Mapping[AccountId, AccountRates] = field(default_factory=dict)
    rest_count: int = 0
    rest: AccountRates = AccountRates()
    returns: tuple[SharedReturn, ...] = ()
    was_refused: bool = False


@dataclass(frozen=True, slots=True)
class AdmissionRecord:
    """What an entry shares about the services for which its admission is active.

    Args:
        name: Name of the process.
        services: What it shares about each service.
    """

    name: ProcessName
    services: Mapping[ServiceName, ServiceRecord] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Returns the record as bytes, at most ``MAX_RECORD_BYTES``."""
        account_limit = MAX_SHARED_ACCOUNTS
        return_limit = MAX_SHARED_RESERVATIONS
        services = list(self.services.items())[:MAX_SERVICES]
        while True:
            record = AdmissionRecord(
                self.name, _limit(dict(services), account_limit, return_limit)
            )
            data = json.dumps(_make_fields(record), separators=(",", ":")).encode()
            if len(data) <= MAX_RECORD_BYTES or not services:
                return data
            if account_limit or return_limit:
                account_limit, return_limit = account_limit // 2, return_limit // 2
            else:
                services.pop()


def decode_admission_record(data: bytes) -> AdmissionRecord | None:
    """Decodes a record; parts of it that are malformed are left out.

    Returns:
        The record, or None if the data is a record of another kind.

    Raises:
        ValueError: The data is not JSON, or the record has no name.

    Example:
        >>> decode_admission_record(b'{"admission": 3, "name": "e1"}').services
        {}
        >>> decode_admission_record(b"[1]") is None
        True
    """
    fields = parse_json(data)
    if not isinstance(fields, dict) or RECORD_FIELD not in fields:
        return None
    name = fields.get("name")
    if not isinstance(name, str) or not name:
        raise ValueError("the admission record has no name")
    services = fields[RECORD_FIELD]
    if not isinstance(services, dict):
        services = {}
    return AdmissionRecord(
        ProcessName(name),
        {
            ServiceName(service): _decode_service(content)
            for service, content in list(services.items())[:MAX_SERVICES]
            if isinstance(content, dict)
        },
    )


def _limit(
    services: Mapping[ServiceName, ServiceRecord], account_limit: int, return_limit: int
) -> dict[ServiceName, ServiceRecord]:
    """Returns the services with the largest accounts and the latest returns only."""
    largest = sorted(
        (
            (max(rate.demand, rate.use), service, account)
            for service, content in services.items()
            for account, rate in content.accounts.items()
        ),
        reverse=True,
    )[:account_limit]
    latest = sorted(
        (
            (shared.delay, service, number)
            for service, content in services.items()
            for number, shared in enumerate(content.returns)
        ),
        reverse=True,
    )[:return_limit]
    kept_accounts = {(service, account) for _, service, account in largest}
    kept_returns = {(service, number) for _, service, number in latest}
    limited: dict[ServiceName, ServiceRecord] = {}
    for service, content in services.items():
        left_out = [
            rate
            for account, rate in content.accounts.items()
            if (service, account) not in kept_accounts
        ]
        limited[service] = ServiceRecord(
            {
                account: rate
                for account, rate in content.accounts.items()
                if (service, account) in kept_accounts
            },
            content.rest_count + len(left_out),
            AccountRates(
                content.rest.demand + sum(rate.demand for rate in left_out),
                content.rest.use + sum(rate.use for rate in left_out),
            ),
            tuple(
                shared
                for number, shared in enumerate(content.returns)
                if (service, number) in kept_returns
            ),
            content.was_refused,
        )
    return limited


def _make_fields(record: AdmissionRecord) -> dict[str, object]:
    services = {
        service: {
            "accounts": {
                account: [round(rate.demand, 3), round(rate.use, 3)]
                for account, rate in content.accounts.items()
            },
            "rest": [
                content.rest_count,
                round(content.rest.demand, 3),
                round(content.rest.use, 3),
            ],
            "returns": [
                [shared.account, shared.digest, round(shared.delay, 3)]
                for shared in content.returns
            ],
            "refused": content.was_refused,
        }
        for service, content in record.services.items()
    }
    return {"name": record.name, RECORD_FIELD: services}


def _decode_service(content: dict[str, Any]) -> ServiceRecord:
    accounts = content.get("accounts")
    returns = content.get("returns")
    rest_count, rest = 0, AccountRates()
    match content.get("rest"):
        case [int(count), demand, use] if count > 0:
            decoded_rest = _decode_rates([demand, use])
            if decoded_rest is not None:
                rest_count, rest = min(count, MAX_REST_ACCOUNTS), decoded_rest
    decoded_accounts = {
        AccountId(account): rate
        for account, value in (accounts if isinstance(accounts, dict) else {}).items()
        if (rate := _decode_rates(value)) is not None
    }
    decoded_returns = [
        shared
        for value in (returns if isinstance(returns, list) else [])
        if (shared := _decode_return(value)) is not None
    ]
    return ServiceRecord(
        dict(list(decoded_accounts.items())[:MAX_SHARED_ACCOUNTS]),
        rest_count,
        rest,
        tuple(decoded_returns[:MAX_SHARED_RESERVATIONS]),
        content.get("refused") is True,
    )


def _decode_rates(value: object) -> AccountRates | None:
    match value:
        case [int() | float() as demand, int() | float() as use] if math.isfinite(
            demand
        ) and math.isfinite(use):
            return AccountRates(
                min(MAX_RATE, max(0.0, demand)), min(MAX_RATE, max(0.0, use))
            )
    return None


def _decode_return(value: object) -> SharedReturn | None:
    match value:
        case [str(account), str(digest), int() | float() as delay] if math.isfinite(
            delay
        ):
            bounded = max(-1.0, min(MAX_RETRY_DELAY, float(delay)))
            return SharedReturn(AccountId(account), digest, bounded)
    return None
