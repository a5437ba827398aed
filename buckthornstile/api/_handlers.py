"""Answers what comes through the door of the product's own interface."""

from buckthornstile.api._callers import CallerHandlers
from buckthornstile.api._lots import LOT_PATH, TRAINER_PATH, LotHandlers
from buckthornstile.api._operators import OperatorHandlers
from buckthornstile.api._requests import ApiRequest, make_api_error
from buckthornstile.api._tools import ApiTools
from buckthornstile.base import BuckthornstileError
from buckthornstile.calls import Reply, StreamReply
from buckthornstile.logs import log_event


class ApiHandlers:
    """Finds who answers a request: callers', trainers' or operators' handlers."""

    def __init__(self, tools: ApiTools, operators: OperatorHandlers) -> None:
        self.tools = tools
        self.callers = CallerHandlers(tools)
        self.lots = LotHandlers(tools)
        self.operators = operators

    async def handle(self, request: ApiRequest) -> Reply | StreamReply:
        """Answers one request; failures become a coded error with a verdict."""
        show = self.operators.find(request.path)
        if show is not None:
            return show(request)
        try:
            if request.path == LOT_PATH or request.path.startswith(
                (f"{LOT_PATH}/", TRAINER_PATH)
            ):
                return await self.lots.handle(request)
            return await self.callers.handle(request)
        except BuckthornstileError as error:
            log_event(
                "request.refused",
                request=request.id,
                path=request.path[:60],
                error=error.code.value,
                reason=error.message,
                verdict=error.verdict.value,
                revision=self.tools.watch.current.revision,
                store_age=self.tools.watch.get_age(),
            )
            return make_api_error(error)
