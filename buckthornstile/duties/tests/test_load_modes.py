"""The choice of how running requests are treated while an engine loads a version."""

from buckthornstile.duties import LoadModePolicy
from buckthornstile.duties._load_modes import RUNNING_ITEM_SECONDS
from buckthornstile.messages import LoadMode
from buckthornstile.topology import (
    PlatformConfiguration,
    Route,
    RouteKind,
    TopologyView,
)


def make_route(service: str, *, is_single: bool) -> Route:
    return Route(
        name="steps",
        host="h",
        path_prefix="/",
        kind=RouteKind.ROLLOUT,
        services=((service, 1.0),),
        timeout=1.0,
        target_latency=1.0,
        requires_single_version=is_single,
    )


def test_runs_finish_first_until_the_items_of_a_moved_route_have_ended() -> None:
    view = TopologyView()
    policy = LoadModePolicy(view)
    single = make_route("old", is_single=True)
    view.apply_configuration(PlatformConfiguration(1, routes=(single,)))
    assert policy.choose("old", 0.0) is LoadMode.FINISH_FIRST
    assert policy.choose("new", 0.0) is LoadMode.CONTINUE
    moved = make_route("new", is_single=True)
    view.apply_configuration(PlatformConfiguration(2, routes=(moved,)))
    policy.observe(1.0)
    assert policy.choose("new", 1.0) is LoadMode.FINISH_FIRST
    assert policy.choose("old", RUNNING_ITEM_SECONDS - 0.1) is LoadMode.FINISH_FIRST
    assert policy.choose("old", RUNNING_ITEM_SECONDS + 0.1) is LoadMode.CONTINUE


def test_service_without_single_version_routes_continues() -> None:
    view = TopologyView()
    route = make_route("models", is_single=False)
    view.apply_configuration(PlatformConfiguration(1, routes=(route,)))
    assert LoadModePolicy(view).choose("models", 0.0) is LoadMode.CONTINUE
