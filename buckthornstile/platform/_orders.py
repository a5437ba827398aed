"""The adapter of the platform's interface for ordering upstreams."""

from pydantic import BaseModel, TypeAdapter, ValidationError

from buckthornstile.base import BuckthornstileError, ErrorCode, OrderId
from buckthornstile.platform._client import (
    PlatformClient,
    check_accepted,
    make_malformed_error,
)
from buckthornstile.ports import UpstreamOrder

TERM_REFUSED_STATUS = 409
_ORDER = TypeAdapter(UpstreamOrder)


class _Order(BaseModel):
    order_id: str


class _OrderList(BaseModel):
    orders: list[_Order]


class HttpUpstreamOrders:
    """The platform's interface for ordering upstreams, over HTTP.

    Args:
        client: The client to call the platform with.

    Example:
        >>> orders = HttpUpstreamOrders(PlatformClient("http://127.0.0.1:1"))
    """

    def __init__(self, client: PlatformClient) -> None:
        self.client = client

    async def order(self, order: UpstreamOrder, *, timeout: float) -> None:
        """Sends an order, once.

        Args:
            order: The order.
            timeout: Seconds to wait for the answer.

        Raises:
            PlatformUnavailableError: No answer; it may have taken effect.
            BuckthornstileError: Refused, with ``TERM_OLD`` for an old term.
        """
        response = await self.client.call(
            "POST", "/orders", body=_ORDER.dump_json(order), timeout=timeout
        )
        if response.code == TERM_REFUSED_STATUS:
            raise BuckthornstileError(
                ErrorCode.TERM_OLD, f"the platform refused term {order.term}"
            )
        check_accepted(response)

    async def list_orders(self) -> tuple[OrderId, ...]:
        """Lists the orders that the platform has carried out.

        Returns:
            Their ids.

        Raises:
            PlatformUnavailableError: The platform did not answer.
        """
        answer = await self.client.call_accepted("GET", "/orders")
        try:
            listed = _OrderList.model_validate_json(answer)
        except ValidationError as error:
            raise make_malformed_error(error) from error
        return tuple(OrderId(order.order_id) for order in listed.orders)
