"""A stand-in for the platform's store and for its calls to one holder."""

from standins.store._application import make_application
from standins.store._topics import (
    AppendRejectedError,
    Partition,
    TopicStore,
    split_records,
)

__all__ = [
    "Partition",
    "AppendRejectedError",
    "TopicStore",
    "make_application",
    "split_records",
]
