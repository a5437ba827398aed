"""What the entry's tests share."""

import asyncio

import pytest

from buckthornstile.entry.tests.fakes import Network


@pytest.fixture
def play(monkeypatch):
    """Runs a story of the form ``async def story(network)``."""

    def run(story, **options):
        async def work():
            network = await Network(monkeypatch, **options).start()
            try:
                await asyncio.wait_for(story(network), 20.0)
            finally:
                network.fleet.stop()
                for task in network.tasks:
                    task.cancel()

        asyncio.run(work())

    return run
