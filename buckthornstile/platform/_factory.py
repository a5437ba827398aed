"""Makes all ports to one platform."""

from buckthornstile.base import ProcessName
from buckthornstile.platform._client import PlatformClient
from buckthornstile.platform._log import HttpLog
from buckthornstile.platform._orders import HttpUpstreamOrders
from buckthornstile.platform._trainers import HttpTrainers
from buckthornstile.platform._usage_reports import HttpUsageReports
from buckthornstile.platform._vm_list import HttpVmList
from buckthornstile.platform._weights import HttpWeightStore
from buckthornstile.ports import PlatformPorts


def make_platform_ports(
    base_url: str, *, timeout: float = 5.0, caller: ProcessName | str = ""
) -> PlatformPorts:
    """Makes all ports to the platform that listens at a URL.

    Args:
        base_url: Where the platform listens, as ``http://IP:port``.
        timeout: Seconds for one call, unless the call names its own.
        caller: The process that calls, for the platform's records.

    Returns:
        The ports. They connect at their first call.

    Example:
        >>> type(make_platform_ports("http://127.0.0.1:9000").log).__name__
        'HttpLog'
    """
    client = PlatformClient(base_url.rstrip("/"), timeout=timeout, caller=caller)
    return PlatformPorts(
        log=HttpLog(client),
        vm_list=HttpVmList(client),
        orders=HttpUpstreamOrders(client),
        usage_reports=HttpUsageReports(client),
        weights=HttpWeightStore(client),
        trainers=HttpTrainers(client),
    )
