"""Log lines of the admission."""

from buckthornstile.admission import AdmissionRequest, Forecast, RefusalReason
from buckthornstile.base import ServiceName
from buckthornstile.logs import log_event
from buckthornstile.messages import RoutedCall


def log_refusal(
    call: RoutedCall,
    service: ServiceName,
    request: AdmissionRequest,
    forecast: Forecast,
    reason: RefusalReason,
    *,
    remaining: float,
    waiting: int,
    records: int,
    retry_after: float,
) -> None:
    """Logs a refusal with the figures that it was based on.

    Args:
        call: The refused call.
        service: The service that was to serve it.
        request: The call as the admission sees it.
        forecast: Its forecast at arrival.
        reason: Why it is refused.
        remaining: Seconds until its deadline.
        waiting: Number of calls that wait for the service.
        records: Number of other entries whose record was used.
        retry_after: Seconds after which its caller should return.
    """
    log_event(
        "admission.refused",
        request=call.request.id,
        account=request.account,
        service=service,
        route=request.route,
        reason=reason.value,
        predicted_start=round(forecast.predicted_start, 3),
        queue_delay=round(forecast.queue_delay, 3),
        work=round(forecast.work, 3),
        remaining=round(remaining, 3),
        rate=round(forecast.rate, 2),
        waiting=waiting,
        priority=request.priority,
        weight=round(forecast.weight, 2),
        returning=forecast.is_returning,
        records=records,
        retry_after=round(retry_after, 3),
    )
