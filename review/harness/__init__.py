"""Stand-ins and helpers of the review's cases."""

from review.harness._case import Case, run_case
from review.harness._client import Answer, Connection, call
from review.harness._worker import Request, Worker

__all__ = ["Answer", "Case", "Connection", "Request", "Worker", "call", "run_case"]
