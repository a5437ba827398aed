"""A stand-in for the platform's store and for its calls to one holder."""

from standins.store._application import make_application
from standins.store._log import Partition, Refused, StoreLog, split_records

__all__ = ["Partition", "Refused", "StoreLog", "make_application", "split_records"]
