"""Upstreams are started when the load asks for it, and ordered once."""

import threading

from buckthornstile.records import Rule
from standins.deployment import Deployment

SETTINGS = {
    "entry": {
        "scale_maximum": 2,
        "scale_interval": 0.5,
        "scale_start_seconds": 1,
        "lease_duration": 3,
        "lease_renewal_interval": 0.5,
    },
    "agent": {"initial_limit": 4, "maximum_limit": 4},
}
CALLERS = 12
MOST_CALLS = 300


def register_spare(deployment, name, domain, service):
    """Takes a running agent's VM off the list until an order starts it."""
    agent = deployment.agents[name]
    deployment.platform.call("DELETE", f"/control/vms/agent-{name}")
    fields = {
        "role": "agent",
        "failure_domain": domain,
        "address": agent.address,
        "port": agent.port,
        "state": "live",
        "upstream": name,
        "service": service,
    }
    deployment.platform.call("PUT", f"/control/spares/agent-{name}", fields)


def send_calls(deployment, key, served):
    entry = deployment.entries["e1"]
    for _ in range(MOST_CALLS):
        if served.is_set():
            break
        deployment.call_entry(entry, key, "/v1/completions", {"max_tokens": 60})


def knows(deployment, entry, names):
    status = deployment.read_status(entry)
    connected = {u["upstream"] for u in status["upstreams"] if u["connected"]}
    return status["ready"] and connected == names


def has_served(engine):
    entries = engine.read_journal()
    return any(entry.get("uri") == "/v1/completions" for entry in entries)


def test_a_backlog_starts_one_upstream_and_never_two():
    with Deployment(daemon_settings=SETTINGS) as deployment:
        deployment.add_engine("m1", "bench-a", "models", slots=4, token_seconds=0.003)
        deployment.add_engine("m2", "bench-b", "models", slots=4, token_seconds=0.003)
        register_spare(deployment, "m2", "bench-b", "models")
        deployment.add_service("s1", "bench-b", "desk")
        deployment.add_entry("e1", "bench-a")
        deployment.add_entry("e2", "bench-b")
        key, items = deployment.make_account("mill")
        rule = Rule(name="c", path="/v1/completions", service="models", idempotent=True)
        deployment.change(*items, rule)
        for entry in ("e1", "e2"):
            deployment.wait_for(
                lambda entry=entry: knows(deployment, entry, {"m1", "s1"}),
                f"{entry} knows both failure domains",
            )
        served = threading.Event()
        callers = [
            threading.Thread(target=send_calls, args=(deployment, key, served))
            for _ in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        try:
            deployment.wait_for(
                lambda: has_served(deployment.upstreams["m2"]),
                "the spare upstream serves",
            )
        finally:
            served.set()
            for caller in callers:
                caller.join()
        starts = [
            order
            for order in deployment.platform.read_journal("order")
            if order["action"] == "start"
        ]
    assert sum(order["count"] for order in starts) == 1, starts
    assert starts[0]["failure_domain"] == "bench-b"
