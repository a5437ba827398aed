"""Names of the headers, paths, topics and keys of the platform's protocol."""

# Request headers
REQUEST_ID_HEADER = "Request-Id"
DEADLINE_HEADER = "Deadline-Ms"
API_KEY_HEADER = "Credential"
ACCOUNT_HEADER = "Tenant"
EXPECTED_UPSTREAM_HEADER = "Expect-Instance"
EXPECTED_VERSION_HEADER = "Expect-Version"
URGENCY_HEADER = "Request-Urgency"
RESUME_AFTER_HEADER = "Last-Event-Id"
RESUMED_REQUEST_HEADER = "Resumes"
WAIT_HEADER = "Wait-Ms"
EXPECTED_TOKENS_HEADER = "Length-Hint"
MODEL_HEADER = "Model"
TOKEN_COUNTS_HEADER = "Token-Counts"
PROMPT_PREFIX_HEADER = "Prompt-Prefix"

# Response headers
SIGNATURE_HEADER = "Server-Stamp"
NOT_RUN_HEADER = "Not-Run"
LOAD_HEADER = "Server-Load"
RATE_LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"
UPSTREAM_ID_HEADER = "Instance-Id"
VERSIONS_HEADER = "Weight-Versions"
RETRY_AFTER_HEADER = "Retry-After"

# Headers between entries, which are this project's own
CHECKED_ACCOUNT_HEADER = "Checked-Account"
CHECKED_VERSION_HEADER = "Checked-Configuration"

# Headers of requests to the platform
DUTY_HOLDER_HEADER = "Duty-Holder"
DUTY_TERM_HEADER = "Fencing-Token"

# Lower-case names of the headers that apply to one connection and are not forwarded
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
# Lower-case names of the headers that the system interprets; the values that clients
# send are not forwarded to upstreams, and the system sets its own where it needs them
INTERNAL_HEADERS = frozenset(
    name.lower()
    for name in (
        API_KEY_HEADER,
        ACCOUNT_HEADER,
        DEADLINE_HEADER,
        EXPECTED_UPSTREAM_HEADER,
        EXPECTED_VERSION_HEADER,
        URGENCY_HEADER,
    )
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
"""Topic of the weight versions that trainers publish through the API. It is this
project's own, not the platform's; its ``keyed.`` prefix makes the store retain the
latest record of each key."""
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
VERSION_PREFIX = "version/"
