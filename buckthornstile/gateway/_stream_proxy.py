"""Opens streams at upstreams, and resumes those that clients take up again."""

from buckthornstile.base import SoftwareVersion
from buckthornstile.gateway._proxied_stream import ProxiedStream, StreamResources
from buckthornstile.messages import Response, RoutedCall, StreamingResponse


class StreamProxy:
    """Opens streams at upstreams and proxies them to clients.

    Args:
        resources: What all streams of the entry share.
    """

    def __init__(self, resources: StreamResources) -> None:
        self.resources = resources

    async def open(self, call: RoutedCall) -> Response | StreamingResponse:
        """Sends a request and returns the response once its head has arrived.

        If a stream breaks and its route allows it to be resumed, another upstream
        continues it; the client still gets only the first upstream's head. Otherwise
        the stream ends with an error.

        Raises:
            BuckthornstileError: No upstream returned a response; the verdict is NOT_RUN
                only if no upstream has run the request or will run it.
        """
        version: SoftwareVersion | None = None
        if call.may_be_resumed and call.request.last_event_id is not None:
            version = await self.resources.versions.find_version(call)
            if call.check_after_wait is not None:
                call.check_after_wait()
        return await ProxiedStream(self.resources, call, version).open()
