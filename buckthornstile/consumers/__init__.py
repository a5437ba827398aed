"""Consumers of the store's partitions."""

from buckthornstile.consumers._partition_consumer import PartitionConsumer

__all__ = ["PartitionConsumer"]
