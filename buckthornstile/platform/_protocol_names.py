"""Names that the platform's protocol uses in headers, paths and keys."""

# Headers of requests
REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
KEY = "Credential"
ACCOUNT = "Tenant"
EXPECTED_UPSTREAM = "Expect-Instance"
EXPECTED_VERSION = "Expect-Version"
URGENCY = "Request-Urgency"
RESUME_AFTER = "Last-Event-Id"
WAIT = "Wait-Ms"
EXPECTED_TOKENS = "Length-Hint"
MODEL = "Model"
TOKENS = "Token-Counts"
PREFIX = "Prompt-Prefix"

# Headers of answers
SIGNATURE = "Server-Stamp"
NOT_RUN = "Not-Run"
LOAD = "Server-Load"
UPSTREAM_ID = "Instance-Id"
VERSIONS = "Weight-Versions"
RETRY_AFTER = "Retry-After"

# Headers of calls to the platform
DUTY_HOLDER = "Duty-Holder"
DUTY_TERM = "Fencing-Token"

# Headers that concern one connection, and those the system sets itself
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
OWN_HEADERS = frozenset(
    name.lower()
    for name in (KEY, ACCOUNT, DEADLINE, EXPECTED_UPSTREAM, EXPECTED_VERSION, URGENCY)
)

READY_PATH = "/-/ready"
JOB_PATH = "/-/lots/"
ITEM_PATH = "/-/items/"
REPORT_PATH = "/-/report"
ORDER_PATH = "/-/order"

OPERATOR_TOPIC = "keyed.op"
UPSTREAM_TOPIC = "keyed.servers"
JOB_TOPIC = "keyed.jobs"
CONFIGURATION_TOPIC = "keyed.configuration"
TRAINER_VERSION_TOPIC = "keyed.versions"
"""Ours; the prefix makes the store keep the newest record of each key."""
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
VERSION_PREFIX = "version/"


def read_integer(value: str | None) -> int | None:
    """Reads a header that holds a whole number; None if it holds none."""
    return int(value) if value and value.isdigit() else None
