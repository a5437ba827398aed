"""A stand-in for the platform's store and for the duty calls of a lease holder."""

from standins.store._application import make_application
from standins.store._topics import (
    AppendRejectedError,
    Partition,
    TopicStore,
    decode_records,
)

__all__ = [
    "Partition",
    "AppendRejectedError",
    "TopicStore",
    "make_application",
    "decode_records",
]
