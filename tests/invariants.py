"""Checks promises from what callers, trainers, upstreams and the platform saw.

It reads records and journals only, and knows nothing of the product's inside:
it imports nothing of it. An engine's text is known in advance
(``standins.worker.generate_token``), so that a short or crossed answer shows.
"""

import hashlib
import itertools
import json
import re
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from standins.worker import generate_tokens

RAN_STATUS = 200


@dataclass(slots=True)
class CallRecord:
    """One call, as its caller saw it.

    Args:
        account: The client account of the key.
        kind: ``completion``, ``lookup`` or ``order``.
        name: The caller's own name for it, which stands in the body.
        body: The body, as it was sent.
        status: The answer's status, or 0 for an error.
        answer: The answer's body, or the events' data of a stream.
        code: The error's code.
        verdict: The error's verdict.
        began: When it began, in seconds since the epoch.
        ended: When it ended; 0 until then.
    """

    account: str
    kind: str
    name: str
    body: bytes
    status: int = 0
    answer: bytes | list[bytes] = b""
    code: str = ""
    verdict: str = ""
    began: float = 0.0
    ended: float = 0.0


@dataclass(slots=True)
class SampleRecord:
    """One sample, as its trainer saw it.

    Args:
        account: The client account of the key.
        lot: The lot.
        slot: Group and index.
        prompt: The group's prompt.
        tokens: The tokens wanted.
        body: The answer.
        seed: The sample's own seed.
        labels: First and last event and version, of each range.
        trainer_version: Where the trainer was when it came.
        maximum_age: The lot's bound, in versions.
    """

    account: str
    lot: str
    slot: tuple[int, int]
    prompt: str
    tokens: int
    seed: int
    body: dict[str, Any]
    labels: list[tuple[int, int, int]]
    trainer_version: int
    maximum_age: int


@dataclass(slots=True)
class Observations:
    """All that was seen from outside.

    Args:
        keys: All keys in clear.
        calls: What callers saw.
        samples: What trainers saw.
        upstreams: Each worker's journal.
        platform: The store's journal, with the calls to the platform.
        lost_journals: Workers that were killed, and their journals with them.
    """

    keys: list[str] = field(default_factory=list)
    calls: list[CallRecord] = field(default_factory=list)
    samples: list[SampleRecord] = field(default_factory=list)
    upstreams: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    platform: list[dict[str, Any]] = field(default_factory=list)
    lost_journals: set[str] = field(default_factory=set)

    def list_entries(self, what: str) -> list[dict[str, Any]]:
        """Lists the entries of one kind in all upstreams' journals."""
        journals = self.upstreams.values()
        return [e for journal in journals for e in journal if e["what"] == what]


def check_invariants(observations: Observations) -> None:
    """Checks every promise that holds whatever the fault."""
    check_no_key_leak(observations)
    check_at_most_once(observations)
    check_responses(observations)
    check_samples(observations)
    check_single_lease_holder(observations)
    check_windows(observations)


def check_no_key_leak(observations: Observations) -> None:
    """No upstream saw a key, in clear or hashed, in header, path or body."""
    digests = [hashlib.sha256(key.encode()).hexdigest() for key in observations.keys]
    for name, journal in observations.upstreams.items():
        text = json.dumps(journal)
        for secret in [*observations.keys, *digests]:
            assert secret not in text, f"{name} saw a key"
        assert "authorization" not in text.lower(), f"{name} saw the header"


def count_runs(observations: Observations) -> Counter[str]:
    """Counts how often each call ran, by the name in its body."""
    runs: Counter[str] = Counter()
    for entry in observations.list_entries("run"):
        body = json.loads(entry["body"] or "{}")
        runs[body.get("name") or body.get("prompt", "")] += 1
    return runs


def check_at_most_once(observations: Observations) -> None:
    """Each order ran at most once, and what its caller was told is true.

    ``not_run`` means no run, ever; an answer of 200 means one run. A verdict
    ``may_have_run`` leaves both open.
    """
    runs = count_runs(observations)
    orders = {call.name for call in observations.calls if call.kind == "order"}
    doubled = {name: runs[name] for name in orders if runs[name] > 1}
    assert not doubled, f"ran more than once: {doubled}"
    for call in observations.calls:
        if call.verdict == "not_run":
            assert runs[call.name] == 0, f"{call.name} ran despite {call.code}"
        if call.kind == "order" and call.status == RAN_STATUS:
            is_known = runs[call.name] == 1 or bool(observations.lost_journals)
            assert is_known, f"{call.name} was answered and never ran"


def check_responses(observations: Observations) -> None:
    """Each 200 is the whole right answer to its own request; errors have codes."""
    for call in observations.calls:
        if call.status == RAN_STATUS:
            _check_answer(call)
        elif call.ended:
            assert call.code and call.verdict, f"{call.name}: an error without a code"


def _check_answer(call: CallRecord) -> None:
    if call.kind == "completion":
        request = json.loads(call.body)
        wanted = generate_tokens(
            request["prompt"], request["seed"], request["max_tokens"]
        )
        assert read_tokens(call.answer) == wanted, f"{call.name}: not its own text"
        return
    assert call.answer == b"answer to " + call.body, f"{call.name}: crossed"


def read_tokens(answer: bytes | list[bytes]) -> list[str]:
    """Reads the tokens of a whole answer or of a stream's events."""
    if isinstance(answer, bytes):
        return list(json.loads(answer)["events"])
    return [data.decode() for data in answer]


def check_samples(observations: Observations) -> None:
    """Samples came once, whole, truly labelled and young enough.

    The workers' journals say which version made each event of a run; runs of one
    sample are found by its prompt and seed. A sample of an engine whose journal
    was lost is checked but for its label.
    """
    seen = Counter((s.account, s.lot, s.slot) for s in observations.samples)
    doubled = {slot: count for slot, count in seen.items() if count > 1}
    assert not doubled, f"delivered more than once: {doubled}"
    made: dict[tuple[str, int], list[dict[str, Any]]] = defaultdict(list)
    for entry in observations.list_entries("run"):
        body = json.loads(entry["body"] or "{}")
        if "prompt" in body:
            made[body["prompt"], body.get("seed", 0)].append(entry)
    for sample in observations.samples:
        _check_sample(sample, made, bool(observations.lost_journals))


def _check_sample(
    sample: SampleRecord,
    made: dict[tuple[str, int], list[dict[str, Any]]],
    journal_lost: bool,
) -> None:
    name = f"{sample.lot} {sample.slot}"
    tokens = sample.body["events"]
    wanted = generate_tokens(sample.prompt, sample.seed, sample.tokens)
    assert tokens == wanted, f"{name}: not its own text"
    assert sample.labels, f"{name}: no label"
    covered = [i for first, last, _ in sample.labels for i in range(first, last + 1)]
    assert covered == list(range(sample.tokens)), f"{name}: labels {sample.labels}"
    versions = sorted({version for _, _, version in sample.labels})
    oldest = sample.trainer_version - sample.maximum_age
    assert versions[0] >= oldest, f"{name}: version {versions[0]}, bound {oldest}"
    runs = made.get((sample.prompt, sample.seed), [])
    assert runs or journal_lost, f"{name}: no engine made it"
    if journal_lost:
        return
    truth = find_event_versions(runs)
    for first, last, version in sample.labels:
        for event in range(first, last + 1):
            assert version in truth[event], f"{name}: event {event} is not {version}"


def find_event_versions(runs: list[dict[str, Any]]) -> dict[int, set[int]]:
    """Finds which versions made each event, over all runs of one sample."""
    truth: dict[int, set[int]] = defaultdict(set)
    for run in runs:
        first = int(run["headers"].get("Last-Event-Id", 0))
        for number, version in enumerate(run.get("versions", ())):
            truth[first + number].add(version)
    return truth


def check_single_lease_holder(observations: Observations) -> None:
    """Orders and reports of two processes never interleave.

    A process whose report the platform took must have claimed the lease in the store
    since any other process last acted. The terms of reports never fall, nor those of
    the orders that each engine took, and a term is one process's.
    """
    acted = ""
    claimed: set[str] = set()
    for entry in observations.platform:
        if entry["what"] == "append" and entry["topic"] == "duties":
            claimed |= _find_claims(entry["data"])
        elif entry["what"] == "usage":
            by = entry["holder"]
            assert by, "the platform does not see who acts"
            assert by == acted or by in claimed, f"{by} acts after {acted} unclaimed"
            claimed = claimed if by == acted else set()
            acted = by
            claimed.discard(by)
    reports = [e for e in observations.platform if e["what"] == "usage"]
    check_terms([(e["term"], e["holder"]) for e in reports])
    for journal in observations.upstreams.values():
        orders = [e for e in journal if e["what"] == "order"]
        check_terms([(e["fence"], e["holder"]) for e in orders])


def _find_claims(data: str) -> set[str]:
    """Finds the processes that claim the lease in an append's records."""
    names = set()
    for text in re.findall(r'\["lease", "([^"]+)", null\]', data):
        names.add(text.partition("#")[0])
    return names


def check_terms(acts: list[tuple[int, str]]) -> None:
    """Terms never fall, and each has one holder."""
    for (before, _), (after, _) in itertools.pairwise(acts):
        assert before <= after, f"term {after} acted after term {before}"
    holders: dict[int, set[str]] = defaultdict(set)
    for term, by in acts:
        holders[term].add(by)
    shared = {term: names for term, names in holders.items() if len(names) > 1}
    assert not shared, f"terms of two processes: {shared}"


def check_windows(observations: Observations) -> None:
    """No window was reported with two figures."""
    figures: dict[int, set[str]] = defaultdict(set)
    for report in list_reports(observations):
        figures[report["window"]].add(json.dumps(report["counts"], sort_keys=True))
    doubled = {window: texts for window, texts in figures.items() if len(texts) > 1}
    assert not doubled, f"reported with two figures: {doubled}"


def list_reports(observations: Observations) -> list[dict[str, Any]]:
    """Lists the usage reports that the platform took."""
    return [
        entry["body"] for entry in observations.platform if entry["what"] == "usage"
    ]


def count_reported(observations: Observations) -> Counter[str]:
    """Adds up the reported requests of each account, each window once."""
    windows = {
        report["window"]: report["counts"] for report in list_reports(observations)
    }
    totals: Counter[str] = Counter()
    for counts in windows.values():
        totals.update(counts)
    return totals


def count_received(observations: Observations) -> Counter[str]:
    """Counts the whole answers and samples that each account received."""
    totals = Counter(c.account for c in observations.calls if c.status == RAN_STATUS)
    totals.update(sample.account for sample in observations.samples)
    return totals


def check_usage_exact(observations: Observations) -> None:
    """Reported equals received; holds where no answer was lost on its way.

    That is: no process was killed, no connection cut and no caller left.
    """
    assert count_reported(observations) == count_received(observations)


def list_request_times(observations: Observations, upstream: str) -> list[float]:
    """Lists when requests arrived at a worker, in seconds since the epoch."""
    journal = observations.upstreams[upstream]
    return [entry["at"] for entry in journal if entry["what"] == "run"]
