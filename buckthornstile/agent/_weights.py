"""Fetches weights, from another agent or the store, and passes them on."""

import asyncio
import ssl

from buckthornstile.base import (
    UNKNOWN_VERSION,
    BuckthornstileError,
    ErrorCode,
    WeightVersion,
)
from buckthornstile.ports import WeightManifest, WeightStorePort
from buckthornstile.weights import WeightCache
from buckthornstile.wire import (
    Connection,
    Identity,
    WeightChunk,
    WeightRequest,
    dial_peer,
)

MANIFEST_INDEX = 0
RETRY_SECONDS = 0.1
MAX_RETRIES = 100
CHUNK_TIMEOUT_SECONDS = 10.0


class WeightFetcher:
    """Fetches one version at a time into the agent's cache.

    Args:
        store: The rate-limited store.
        identity: The agent, as other agents know it.
        secret: The deployment secret.
        ssl_context: For TLS to other agents, or None.
        cache: The chunks held.
    """

    def __init__(
        self,
        store: WeightStorePort,
        *,
        identity: Identity,
        secret: str,
        ssl_context: ssl.SSLContext | None = None,
        cache: WeightCache | None = None,
    ) -> None:
        self.store = store
        self.identity = identity
        self.secret = secret
        self.ssl_context = ssl_context
        self.cache = cache or WeightCache()
        self.fetched_version = UNKNOWN_VERSION
        self.from_peers = 0
        self.from_store = 0
        self.failures = 0
        self._manifests: dict[WeightVersion, WeightManifest] = {}
        self._tasks: dict[WeightVersion, asyncio.Task[None]] = {}

    def begin(self, version: WeightVersion, source: str, source_port: int) -> None:
        """Begins to fetch a version, unless that is being done.

        Args:
            version: The version.
            source: The IP number of the agent to fetch from; empty for the store.
            source_port: That agent's port.
        """
        task = self._tasks.get(version)
        running = task is not None and not task.done()
        if running or self.cache.is_complete(version):
            return
        for old in [v for v in self._tasks if v < version]:
            self._tasks.pop(old).cancel()
        self._tasks[version] = asyncio.create_task(
            self._fetch(version, source, source_port)
        )

    async def wait_fetched(self, version: WeightVersion) -> None:
        """Waits until a version is held whole.

        Args:
            version: The version; it is fetched from the store if nothing else
                was ordered.

        Raises:
            BuckthornstileError: It could not be fetched.
        """
        if self.cache.is_complete(version):
            return
        self.begin(version, "", 0)
        await asyncio.wait([self._tasks[version]])
        if not self.cache.is_complete(version):
            raise BuckthornstileError(
                ErrorCode.PLATFORM_UNAVAILABLE, f"version {version} was not fetched"
            )

    async def _fetch(
        self, version: WeightVersion, source: str, source_port: int
    ) -> None:
        if source:
            try:
                await self._fetch_from_peer(version, source, source_port)
            except (BuckthornstileError, TimeoutError, ValueError):
                self.failures += 1
        if not self.cache.is_complete(version):
            await self._fetch_from_store(version)
        if self.cache.is_complete(version):
            self.fetched_version = max(self.fetched_version, version)

    def _begin_version(self, manifest: WeightManifest) -> None:
        self._manifests[manifest.version] = manifest
        for old in [v for v in self._manifests if v < manifest.version - 2]:
            del self._manifests[old]
        self.cache.begin(manifest)

    # From another agent

    async def _fetch_from_peer(
        self, version: WeightVersion, source: str, source_port: int
    ) -> None:
        connection = await dial_peer(
            source,
            source_port,
            self.identity,
            self.secret,
            ssl_context=self.ssl_context,
        )
        try:
            if version not in self._manifests:
                chunk = await self._ask(connection, version, MANIFEST_INDEX)
                self._begin_version(_read_manifest(chunk))
            for index in self.cache.list_missing(version):
                chunk = await self._ask(connection, version, index + 1)
                self.cache.add_chunk(version, index, chunk.data)
                self.from_peers += 1
        finally:
            connection.close()

    async def _ask(
        self, connection: Connection, version: WeightVersion, index: int
    ) -> WeightChunk:
        """Asks until the other agent has the chunk, which it may be fetching."""
        for _ in range(MAX_RETRIES):
            connection.send(WeightRequest(version, index))
            async with asyncio.timeout(CHUNK_TIMEOUT_SECONDS):
                chunk = await self._receive_chunk(connection, version, index)
            if chunk.code is None:
                return chunk
            await asyncio.sleep(RETRY_SECONDS)
        raise TimeoutError(f"chunk {index} of version {version} did not come")

    async def _receive_chunk(
        self, connection: Connection, version: WeightVersion, index: int
    ) -> WeightChunk:
        while True:
            message = await connection.receive()
            if not isinstance(message, WeightChunk):
                continue
            if (message.version, message.index) == (version, index):
                return message

    def get_chunk(self, request: WeightRequest) -> WeightChunk:
        """Answers another agent.

        Args:
            request: What it asks for.

        Returns:
            The chunk, or the code ``NO_UPSTREAM`` if it is not here yet.
        """
        manifest = self._manifests.get(request.version)
        data: bytes | None = None
        if manifest is not None and request.index == MANIFEST_INDEX:
            data = _write_manifest(manifest)
        elif manifest is not None:
            data = self.cache.get_chunk(request.version, request.index - 1)
        if manifest is None or data is None:
            return WeightChunk(
                request.version, request.index, code=ErrorCode.NO_UPSTREAM
            )
        return WeightChunk(request.version, request.index, manifest.chunk_count, data)

    # From the store

    async def _fetch_from_store(self, version: WeightVersion) -> None:
        for _ in range(MAX_RETRIES):
            try:
                await self._fetch_missing(version)
                return
            except BuckthornstileError as error:
                self.failures += 1
                await asyncio.sleep(error.retry_after or RETRY_SECONDS)

    async def _fetch_missing(self, version: WeightVersion) -> None:
        if version not in self._manifests:
            manifest = await self.store.read_latest()
            if manifest is None or manifest.version != version:
                raise BuckthornstileError(
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    f"the store's newest version is not {version}",
                )
            self._begin_version(manifest)
        for index in self.cache.list_missing(version):
            data = await self.store.read_chunk(version, index)
            self.cache.add_chunk(version, index, data)
            self.from_store += 1


def _write_manifest(manifest: WeightManifest) -> bytes:
    lines = [str(manifest.chunk_bytes), *manifest.digests]
    return "\n".join(lines).encode()


def _read_manifest(chunk: WeightChunk) -> WeightManifest:
    chunk_bytes, *digests = chunk.data.decode().split("\n")
    return WeightManifest(
        chunk.version, chunk.chunk_count, int(chunk_bytes), tuple(digests)
    )
