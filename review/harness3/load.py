"""Clients of plain requests, which keep their connections open."""

import asyncio
import time

from deployment import exchange


class Load:
    """Sends requests at a steady rate to several entries, each in turn.

    Attributes:
        sent: Time at which each request was sent, in seconds since the epoch.
        statuses: Status of each answered request, or the name of the error.
    """

    def __init__(self, record, entries, *, target, headers, body=b"{}"):
        self.record, self.entries = record, entries
        self.target, self.headers, self.body = target, headers, body
        self.idle = {entry.front: [] for entry in entries}
        self.sent, self.statuses = {}, {}
        self.tasks = set()

    async def run(self, rate, seconds, prefix):
        """Sends ``rate`` requests a second, and waits for their answers."""
        started = asyncio.get_running_loop().time()
        count = int(rate * seconds)
        for number in range(count):
            due = started + number / rate
            await asyncio.sleep(due - asyncio.get_running_loop().time())
            entry = self.entries[number % len(self.entries)]
            task = asyncio.create_task(self._send(entry, f"{prefix}{number:06d}"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)

    async def _send(self, entry, name):
        idle = self.idle[entry.front]
        self.sent[name] = time.time()
        headers = {**self.headers, "Request-Id": name, "Deadline-Ms": "800"}
        writer = None
        try:
            async with asyncio.timeout(1.5):
                if idle:
                    reader, writer = idle.pop()
                else:
                    reader, writer = await asyncio.open_connection(*entry.front)
                status, fields, _ = await exchange(
                    reader, writer, "POST", self.target, headers, self.body
                )
            self.statuses[name] = status
            if fields.get("connection", "").lower() != "close":
                idle.append((reader, writer))
                return
        except (OSError, EOFError, TimeoutError) as error:
            self.statuses[name] = type(error).__name__
        if writer is not None:
            writer.close()

    def close(self):
        """Closes the open connections."""
        for connections in self.idle.values():
            for _, writer in connections:
                writer.close()

    def summarize(self):
        """Returns how often each status came."""
        counts = {}
        for status in self.statuses.values():
            counts[status] = counts.get(status, 0) + 1
        return counts
