"""The product's own interface, for callers, trainers and operators."""

from buckthornstile.api._admission import Admission
from buckthornstile.api._configuration import ConfigurationWatch
from buckthornstile.api._handlers import ApiHandlers
from buckthornstile.api._once import OnceGuard
from buckthornstile.api._operators import OperatorHandlers, ProcessState
from buckthornstile.api._requests import (
    ApiRequest,
    decode_api_request,
    encode_api_reply,
    make_api_error,
)
from buckthornstile.api._revocation import Revocation
from buckthornstile.api._tools import ApiTools, find_key_error

__all__ = [
    "Admission",
    "ApiHandlers",
    "ApiRequest",
    "ApiTools",
    "ConfigurationWatch",
    "OnceGuard",
    "OperatorHandlers",
    "ProcessState",
    "Revocation",
    "decode_api_request",
    "encode_api_reply",
    "find_key_error",
    "make_api_error",
]
