"""What is known of calls and items before they run."""

from buckthornstile.base import AccountId, ServiceName
from buckthornstile.jobs import JobItem
from buckthornstile.messages import RoutedCall
from buckthornstile.placement import RequestProfile
from buckthornstile.platform import decode_generation_sizes
from buckthornstile.topology import Route


def make_call_profile(call: RoutedCall, service: ServiceName) -> RequestProfile:
    """Returns what is known of a call or stream that is sent to a service."""
    sizes = decode_generation_sizes(call.request.headers)
    return RequestProfile(
        service=service,
        route=call.route.name,
        account=call.account,
        prompt_tokens=sizes.prompt_tokens,
        max_output_tokens=sizes.max_tokens,
        expected_output_tokens=sizes.expected_tokens,
        body_bytes=len(call.request.body),
    )


def make_item_profile(
    item: JobItem, route: Route, account: AccountId, service: ServiceName
) -> RequestProfile:
    """Returns what is known of an item of a job that is sent to a service."""
    sizes = decode_generation_sizes(item.headers)
    return RequestProfile(
        service=service,
        route=route.name,
        account=account,
        prompt_tokens=sizes.prompt_tokens,
        max_output_tokens=sizes.max_tokens or item.tokens,
        expected_output_tokens=item.expected_tokens,
        body_bytes=len(item.body),
    )
