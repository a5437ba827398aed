"""Dispatch of API requests to the handlers of callers, trainers and operators."""

from buckthornstile.api._caller_handlers import CallerHandlers
from buckthornstile.api._dependencies import ApiDependencies
from buckthornstile.api._lot_handlers import LOT_PATH, TRAINER_PATH, LotHandlers
from buckthornstile.api._operator_handlers import OperatorHandlers
from buckthornstile.api._requests import ApiRequest, make_api_error
from buckthornstile.base import BuckthornstileError
from buckthornstile.logs import log_event
from buckthornstile.messages import Response, StreamingResponse


class ApiHandlers:
    """Dispatches each request to the handlers of callers, trainers or operators."""

    def __init__(
        self, dependencies: ApiDependencies, operators: OperatorHandlers
    ) -> None:
        self.dependencies = dependencies
        self.callers = CallerHandlers(dependencies)
        self.lots = LotHandlers(dependencies)
        self.operators = operators

    async def handle(self, request: ApiRequest) -> Response | StreamingResponse:
        """Handles one request; a failure becomes a response with code and verdict."""
        operator_handler = self.operators.find_handler(request.path)
        if operator_handler is not None:
            return operator_handler(request)
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
                revision=self.dependencies.configuration_watcher.current.revision,
                store_age=self.dependencies.configuration_watcher.get_staleness(),
            )
            return make_api_error(error)
