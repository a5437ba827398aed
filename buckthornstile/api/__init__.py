"""The HTTP API of an entry for callers, trainers and operators."""

from buckthornstile.api._admission import AdmissionController
from buckthornstile.api._configuration import ConfigurationWatcher
from buckthornstile.api._deduplication import CallDeduplicator
from buckthornstile.api._dependencies import ApiDependencies, find_key_error
from buckthornstile.api._handlers import ApiHandlers
from buckthornstile.api._operator_handlers import OperatorHandlers, ProcessState
from buckthornstile.api._requests import (
    ApiRequest,
    decode_api_request,
    encode_api_response,
    make_api_error,
)
from buckthornstile.api._revocation import RevocationMonitor

__all__ = [
    "AdmissionController",
    "ApiHandlers",
    "ApiRequest",
    "ApiDependencies",
    "ConfigurationWatcher",
    "CallDeduplicator",
    "OperatorHandlers",
    "ProcessState",
    "RevocationMonitor",
    "decode_api_request",
    "encode_api_response",
    "find_key_error",
    "make_api_error",
]
