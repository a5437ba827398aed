"""Following the partitions of the store."""

from buckthornstile.consumers._partition_consumer import PartitionConsumer

__all__ = ["PartitionConsumer"]
