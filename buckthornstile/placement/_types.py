"""What is known of a request before it runs, and the estimate of its work."""

from dataclasses import dataclass

from buckthornstile.base import AccountId, ServiceName

BASE_SECONDS = 0.03
"""Prior of the work of any request, in seconds."""
PROMPT_TOKEN_SECONDS = 0.0002
"""Prior of the work to process a token of a prompt, in seconds."""
OUTPUT_TOKEN_SECONDS = 0.0008
"""Prior of the work to generate a token, in seconds: 50 ms for an event."""
BODY_BYTE_SECONDS = 1e-8
"""Prior of the work to read a byte of a body, in seconds."""
TOKENS_PER_EVENT = 62
"""Number of tokens in an event of an engine's stream, on average."""
MAX_TOKENS = 1_000_000
"""Number of tokens from which a larger stated size tells no more."""
UNKNOWN_OUTPUT_FRACTION = 0.25
"""Fraction of the maximum output that counts as expected if no length is stated."""


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """All that is known of a request before it runs.

    ``route`` is the name of its route. Token counts are 0 if they are unknown.

    Example:
        >>> RequestProfile("desk", "r1").compute_prior()
        0.03
    """

    service: ServiceName
    route: str
    account: AccountId | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    body_bytes: int = 0

    def compute_prior(self) -> float:
        """Returns the seconds of work that the stated sizes suggest."""
        output = float(_limit_tokens(self.expected_output_tokens))
        if not output:
            output = _limit_tokens(self.max_output_tokens) * UNKNOWN_OUTPUT_FRACTION
        return (
            BASE_SECONDS
            + BODY_BYTE_SECONDS * self.body_bytes
            + PROMPT_TOKEN_SECONDS * _limit_tokens(self.prompt_tokens)
            + OUTPUT_TOKEN_SECONDS * output
        )

    def is_generation(self) -> bool:
        """Whether the request generates tokens, whose number varies widely."""
        return bool(self.max_output_tokens or self.expected_output_tokens)


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Seconds of work on an idle upstream of usual speed.

    ``mean`` is the expectation, ``high`` the 90th percentile.
    """

    mean: float
    high: float


def _limit_tokens(count: int) -> int:
    return max(0, min(MAX_TOKENS, count))
