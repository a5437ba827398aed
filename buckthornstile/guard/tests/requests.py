"""The one order that the tests of the guard retry."""

from buckthornstile.base import RequestClass
from buckthornstile.guard import KeptAnswer
from buckthornstile.wire import Dispatch

BASE = Dispatch(
    "e1/0",
    "mill",
    "k",
    0,
    RequestClass.WAITED,
    "shop-desk",
    "POST",
    "/orders",
    idempotency_key="order-7",
    home_stable_for=100.0,
)
ANSWER = KeptAnswer(200, "application/json", b"{}")
