"""The agent's chunks of weights: verified, kept, and passed on to other agents."""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

from buckthornstile.base import BuckthornstileError, ErrorCode, WeightVersion
from buckthornstile.ports import WeightManifest

DEFAULT_VERSIONS = 2
_BLAKE2B_128_DIGITS = 32


@dataclass(slots=True)
class _Version:
    manifest: WeightManifest
    chunks: dict[int, bytes] = field(default_factory=dict)


class WeightCache:
    """Holds the chunks of the newest few versions.

    Args:
        maximum_versions: Versions kept; the oldest goes first.

    Example:
        >>> cache = WeightCache()
        >>> digest = hash_chunk(b"abc")
        >>> cache.begin(WeightManifest(WeightVersion(1), 1, 3, (digest,)))
        >>> cache.list_missing(WeightVersion(1))
        (0,)
        >>> cache.add_chunk(WeightVersion(1), 0, b"abc")
        >>> cache.is_complete(WeightVersion(1)), cache.get_chunk(WeightVersion(1), 0)
        (True, b'abc')
    """

    def __init__(self, *, maximum_versions: int = DEFAULT_VERSIONS) -> None:
        self.maximum_versions = maximum_versions
        self.rejected_count = 0
        self._versions: OrderedDict[WeightVersion, _Version] = OrderedDict()

    @property
    def held_bytes(self) -> int:
        """The bytes of all chunks held."""
        return sum(
            len(chunk)
            for version in self._versions.values()
            for chunk in version.chunks.values()
        )

    def begin(self, manifest: WeightManifest) -> None:
        """Begins to collect a version; an older one than all held is passed over.

        Args:
            manifest: The version's chunks and digests.

        Raises:
            BuckthornstileError: With ``RECORD_MALFORMED`` if the manifest does
                not have a digest for each chunk or for none.
        """
        digests = len(manifest.digests)
        if manifest.chunk_count < 1 or digests not in (0, manifest.chunk_count):
            self._reject(ErrorCode.RECORD_MALFORMED, "the manifest is malformed")
        if manifest.version in self._versions:
            return
        self._versions[manifest.version] = _Version(manifest)
        while len(self._versions) > self.maximum_versions:
            del self._versions[min(self._versions)]

    def add_chunk(self, version: WeightVersion, index: int, data: bytes) -> None:
        """Verifies a chunk and keeps it.

        Args:
            version: The version.
            index: The chunk's index.
            data: The chunk.

        Raises:
            BuckthornstileError: With ``ANSWER_CROSSED`` for a chunk that nobody
                asked for, ``ANSWER_TRUNCATED`` for one that does not match.
        """
        held = self._versions.get(version)
        if held is None or not 0 <= index < held.manifest.chunk_count:
            self._reject(ErrorCode.ANSWER_CROSSED, "a chunk came that is not wanted")
            return
        if not _matches(held.manifest, index, data):
            self._reject(
                ErrorCode.ANSWER_TRUNCATED, f"chunk {index} does not match its digest"
            )
        held.chunks[index] = data

    def get_chunk(self, version: WeightVersion, index: int) -> bytes | None:
        """Gives a chunk to pass on, also of a version that is not complete yet.

        Args:
            version: The version.
            index: The chunk's index.

        Returns:
            The chunk, or None if it has not come yet.
        """
        held = self._versions.get(version)
        return held.chunks.get(index) if held is not None else None

    def list_missing(self, version: WeightVersion) -> tuple[int, ...]:
        """Lists the chunks still to fetch, first chunk first.

        Args:
            version: The version; empty if it was not begun.
        """
        held = self._versions.get(version)
        if held is None:
            return ()
        count = held.manifest.chunk_count
        return tuple(index for index in range(count) if index not in held.chunks)

    def is_complete(self, version: WeightVersion) -> bool:
        """Says whether every chunk of a version is held.

        Args:
            version: The version.
        """
        held = self._versions.get(version)
        return held is not None and len(held.chunks) == held.manifest.chunk_count

    def _reject(self, code: ErrorCode, message: str) -> None:
        self.rejected_count += 1
        raise BuckthornstileError(code, message)


def hash_chunk(data: bytes) -> str:
    """Digests a chunk as manifests name it.

    Args:
        data: The chunk.

    Returns:
        SHA-256 in hexadecimal.

    Example:
        >>> hash_chunk(b"")[:8]
        'e3b0c442'
    """
    return hashlib.sha256(data).hexdigest()


def _matches(manifest: WeightManifest, index: int, data: bytes) -> bool:
    if len(data) > manifest.chunk_bytes:
        return False
    if index < manifest.chunk_count - 1 and len(data) != manifest.chunk_bytes:
        return False
    if not manifest.digests:
        return True
    expected = manifest.digests[index]
    if len(expected) == _BLAKE2B_128_DIGITS:
        return hashlib.blake2b(data, digest_size=16).hexdigest() == expected
    return hash_chunk(data) == expected
