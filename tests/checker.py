"""Checks promises from what callers, trainers, upstreams and the platform saw.

It reads records and journals only, and knows nothing of the product's inside:
it imports nothing of it. The engine's text is known in advance
(``standins.engine.make_token``), so that a short or crossed answer shows.
"""

import hashlib
import itertools
import json
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from standins.engine import make_token

RAN_STATUS = 200


@dataclass(slots=True)
class CallSeen:
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
        at: When it ended, in seconds since the epoch.
    """

    account: str
    kind: str
    name: str
    body: bytes
    status: int = 0
    answer: bytes | list[bytes] = b""
    code: str = ""
    verdict: str = ""
    at: float = 0.0


@dataclass(slots=True)
class SampleSeen:
    """One sample, as its trainer saw it.

    Args:
        account: The client account of the key.
        lot: The lot.
        slot: Group and index.
        prompt: The group's prompt.
        tokens: The tokens wanted.
        body: The engine's answer.
        labels: First and last token and version, of each range.
        trainer_version: Where the trainer was when it came.
        maximum_age: The lot's bound, in versions.
    """

    account: str
    lot: str
    slot: tuple[int, int]
    prompt: str
    tokens: int
    body: dict[str, Any]
    labels: list[tuple[int, int, int]]
    trainer_version: int
    maximum_age: int


@dataclass(slots=True)
class Evidence:
    """All that was seen from outside.

    Args:
        keys: All keys in clear.
        calls: What callers saw.
        samples: What trainers saw.
        upstreams: Each upstream's journal.
        platform: The platform's journal.
        lost_journals: Upstreams that were killed, and their journals with them.
    """

    keys: list[str] = field(default_factory=list)
    calls: list[CallSeen] = field(default_factory=list)
    samples: list[SampleSeen] = field(default_factory=list)
    upstreams: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    platform: list[dict[str, Any]] = field(default_factory=list)
    lost_journals: set[str] = field(default_factory=set)

    def list_entries(self, what: str) -> list[dict[str, Any]]:
        """Lists the entries of one kind in all upstreams' journals."""
        journals = self.upstreams.values()
        return [e for journal in journals for e in journal if e["what"] == what]


def check_all(evidence: Evidence) -> None:
    """Checks every promise that holds whatever the fault."""
    check_no_key_upstream(evidence)
    check_orders(evidence)
    check_answers(evidence)
    check_samples(evidence)
    check_one_in_charge(evidence)
    check_windows(evidence)


def check_no_key_upstream(evidence: Evidence) -> None:
    """No upstream saw a key, in clear or hashed, in header, path or body."""
    digests = [hashlib.sha256(key.encode()).hexdigest() for key in evidence.keys]
    for name, journal in evidence.upstreams.items():
        text = json.dumps(journal)
        for secret in [*evidence.keys, *digests]:
            assert secret not in text, f"{name} saw a key"
        assert "authorization" not in text.lower(), f"{name} saw the header"


def count_runs(evidence: Evidence) -> Counter[str]:
    """Counts how often each call ran, by the name in its body."""
    runs: Counter[str] = Counter()
    for entry in evidence.list_entries("run"):
        runs[json.loads(entry["body"] or "{}").get("name", "")] += 1
    for entry in evidence.list_entries("completion"):
        if entry.get("tokens_made"):
            runs[json.loads(entry["body"] or "{}").get("prompt", "")] += 1
    return runs


def check_orders(evidence: Evidence) -> None:
    """Each order ran at most once, and what its caller was told is true.

    ``not_run`` means no run, ever; an answer of 200 means one run. A verdict
    ``may_have_run`` leaves both open.
    """
    runs = count_runs(evidence)
    orders = {call.name for call in evidence.calls if call.kind == "order"}
    doubled = {name: runs[name] for name in orders if runs[name] > 1}
    assert not doubled, f"ran more than once: {doubled}"
    for call in evidence.calls:
        if call.verdict == "not_run":
            assert runs[call.name] == 0, f"{call.name} ran despite {call.code}"
        if call.kind == "order" and call.status == RAN_STATUS:
            is_known = runs[call.name] == 1 or bool(evidence.lost_journals)
            assert is_known, f"{call.name} was answered and never ran"


def check_answers(evidence: Evidence) -> None:
    """Each 200 is the whole right answer to its own request; errors have codes."""
    for call in evidence.calls:
        if call.status == RAN_STATUS:
            _check_answer(call)
        elif call.status == 0:
            assert call.code and call.verdict, f"{call.name}: an error without a code"


def _check_answer(call: CallSeen) -> None:
    if call.kind == "completion":
        request = json.loads(call.body)
        wanted = make_text(request["prompt"], request["seed"], request["max_tokens"])
        assert read_tokens(call.answer) == wanted, f"{call.name}: not its own text"
        return
    assert isinstance(call.answer, bytes)
    digest = hashlib.sha256(call.body).hexdigest()
    assert json.loads(call.answer)["echo_digest"] == digest, f"{call.name}: crossed"


def make_text(prompt: str, seed: int, count: int) -> list[str]:
    """Makes the text that every engine must give."""
    return [make_token(prompt, seed, index) for index in range(count)]


def read_tokens(answer: bytes | list[bytes]) -> list[str]:
    """Reads the tokens of a whole answer or of a stream's events."""
    if isinstance(answer, bytes):
        return list(json.loads(answer)["tokens"])
    events = [json.loads(data) for data in answer if data != b"[DONE]"]
    tokens = [event for event in events if "token" in event]
    assert [event["index"] for event in tokens] == list(range(len(tokens)))
    return [event["token"] for event in tokens]


def check_samples(evidence: Evidence) -> None:
    """Samples came once, whole, truly labelled and young enough.

    The engine's journal says which versions made an answer; it is found by the
    prompt and by the seed that gives the sample's own text. A sample of an
    engine whose journal was lost is checked but for its label.
    """
    seen = Counter((s.account, s.lot, s.slot) for s in evidence.samples)
    doubled = {slot: count for slot, count in seen.items() if count > 1}
    assert not doubled, f"delivered more than once: {doubled}"
    made: dict[tuple[str, str], list[dict[str, Any]]] = defaultdict(list)
    for entry in evidence.list_entries("completion"):
        body = json.loads(entry["body"] or "{}")
        if entry.get("outcome") == "whole" and "prompt" in body:
            first = make_token(body["prompt"], body.get("seed", 0), 0)
            made[body["prompt"], first].append({**entry, "seed": body["seed"]})
    for sample in evidence.samples:
        _check_sample(sample, made, bool(evidence.lost_journals))


def _check_sample(
    sample: SampleSeen,
    made: dict[tuple[str, str], list[dict[str, Any]]],
    journal_lost: bool,
) -> None:
    name = f"{sample.lot} {sample.slot}"
    tokens = sample.body["tokens"]
    assert len(tokens) == sample.tokens, f"{name}: {len(tokens)} tokens"
    assert sample.labels, f"{name}: no label"
    covered = [i for first, last, _ in sample.labels for i in range(first, last + 1)]
    assert covered == list(range(sample.tokens)), f"{name}: labels {sample.labels}"
    versions = sorted({version for _, _, version in sample.labels})
    oldest = sample.trainer_version - sample.maximum_age
    assert versions[0] >= oldest, f"{name}: version {versions[0]}, bound {oldest}"
    entries = made.get((sample.prompt, tokens[0]), [])
    if not entries and journal_lost:
        return
    assert entries, f"{name}: no engine made it"
    wanted = make_text(sample.prompt, entries[0]["seed"], sample.tokens)
    assert tokens == wanted, f"{name}: not its own text"
    truths = [entry["true_versions"] for entry in entries]
    assert versions in truths or journal_lost, f"{name}: {versions}, truth {truths}"


def check_one_in_charge(evidence: Evidence) -> None:
    """Orders and reports of two terms never interleave, and a term is one's.

    In the platform's journal the accepted orders and reports have terms that
    never fall, and each term comes from one process; so for the orders that
    each engine accepted.
    """
    acts = [e for e in evidence.platform if e["what"] in ("order", "usage_report")]
    accepted = [e for e in acts if not e.get("refused")]
    assert all(e["by"] for e in accepted), "the platform does not see who acts"
    check_terms([(e["term"], e["by"]) for e in accepted])
    for journal in evidence.upstreams.values():
        loads = [e for e in journal if e["what"] == "load_version"]
        check_terms([(e["term"], "") for e in loads if not e["refused"]])


def check_terms(acts: list[tuple[int, str]]) -> None:
    """Terms never fall, and each has one holder."""
    for (before, _), (after, _) in itertools.pairwise(acts):
        assert before <= after, f"term {after} acted after term {before}"
    holders: dict[int, set[str]] = defaultdict(set)
    for term, by in acts:
        holders[term].add(by)
    shared = {term: names for term, names in holders.items() if len(names) > 1}
    assert not shared, f"terms of two processes: {shared}"


def check_windows(evidence: Evidence) -> None:
    """No window was reported with two figures."""
    figures: dict[int, set[str]] = defaultdict(set)
    for entry in evidence.platform:
        if entry["what"] == "usage_report":
            text = json.dumps(sort_lines(entry["lines"]), sort_keys=True)
            figures[entry["window"]].add(text)
    doubled = {window: texts for window, texts in figures.items() if len(texts) > 1}
    assert not doubled, f"reported with two figures: {doubled}"


def sort_lines(lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Puts a report's lines into one order."""
    return sorted(lines, key=lambda line: json.dumps(line, sort_keys=True))


def count_reported(evidence: Evidence) -> Counter[str]:
    """Adds up the reported requests of each account, each window once."""
    windows = {
        entry["window"]: entry["lines"]
        for entry in evidence.platform
        if entry["what"] == "usage_report"
    }
    totals: Counter[str] = Counter()
    for line in itertools.chain.from_iterable(windows.values()):
        totals[line["account"]] += line["requests"]
    return totals


def count_received(evidence: Evidence) -> Counter[str]:
    """Counts the whole answers and samples that each account received."""
    totals = Counter(c.account for c in evidence.calls if c.status == RAN_STATUS)
    totals.update(sample.account for sample in evidence.samples)
    return totals


def check_usage_exact(evidence: Evidence) -> None:
    """Reported equals received; holds where no answer was lost on its way.

    That is: no process was killed, no connection cut and no caller left, and
    trainers' slots were not hedged.
    """
    assert count_reported(evidence) == count_received(evidence)


def check_usage_bounds(evidence: Evidence) -> None:
    """Reported is at least what was received, and at most what ran.

    It holds under any fault that leaves an entry or the agent of each request
    alive, once all windows are reported: a request that ran and whose answer
    was lost may be billed or not, but once at most.
    """
    reported, received = count_reported(evidence), count_received(evidence)
    for account, count in received.items():
        assert reported[account] >= count, f"{account}: {reported} under {received}"
    runs = len(evidence.list_entries("run"))
    whole = [e for e in evidence.list_entries("completion") if "ended" in e]
    assert reported.total() <= runs + len(whole), f"{reported.total()} over all runs"


def list_arrivals(evidence: Evidence, upstream: str) -> list[float]:
    """Lists when requests arrived at an upstream, in seconds since the epoch."""
    journal = evidence.upstreams[upstream]
    return [e["at"] for e in journal if e["what"] in ("run", "completion")]
