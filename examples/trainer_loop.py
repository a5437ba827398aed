"""A trainer that runs one lot per step and creates a weight version after each.

Run it with ``python -m examples.trainer_loop URL,URL KEY``.
"""

import asyncio
import sys

from buckthornstile import (
    GroupSpecification,
    LotSpecification,
    ReceivedSample,
    TrainerClient,
)

STEP_COUNT = 3
GROUP_COUNT = 2
SAMPLES_PER_GROUP = 4


def make_step_lot(step: int, version: int) -> LotSpecification:
    """Creates the lot of a step: groups of samples that share a prompt."""
    groups = tuple(
        GroupSpecification(
            prompt=f"set tooth pitch {step}.{number}",
            samples=SAMPLES_PER_GROUP,
            max_tokens=16,
        )
        for number in range(GROUP_COUNT)
    )
    return LotSpecification(
        lot=f"step-{step}",
        trainer="geometry",
        groups=groups,
        version=version,
        maximum_age=1,
        timeout=60.0,
    )


def train(samples: list[ReceivedSample], version: int) -> int:
    """Simulates a training step and returns the new weight version."""
    # The labels name the weight version that generated each token.
    assert all(sample.oldest_version >= version - 1 for sample in samples)
    return version + 1


async def run_steps(trainer: TrainerClient, version: int) -> list[int]:
    """Runs the steps and returns the number of samples of each."""
    counts = []
    for step in range(1, STEP_COUNT + 1):
        lot = make_step_lot(step, version)
        samples = [sample async for sample in trainer.run_lot(lot)]
        counts.append(len(samples))
        version = train(samples, version)
        # The entries make the engines load the version that the trainer names.
        await trainer.set_version(version)
        print(f"step {step}: {counts[-1]} samples, trainer at version {version}")
    await trainer.close()
    return counts


async def main(entries: str, key: str) -> None:
    """Runs a trainer that starts with weight version 1."""
    trainer = TrainerClient(entries.split(","), key, "geometry")
    await run_steps(trainer, version=1)
    print(f"waited {trainer.idle_seconds:.1f} s for samples")


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:3]))
