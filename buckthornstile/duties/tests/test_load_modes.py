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
    policy.observe(-RUNNING_ITEM_SECONDS)
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


def test_new_process_lets_runs_finish_while_a_route_may_have_been_moved() -> None:
    """It did not know that items of a moved route still ran at a service."""
    view = TopologyView()
    moved = make_route("new", is_single=True)
    view.apply_configuration(PlatformConfiguration(2, routes=(moved,)))
    policy = LoadModePolicy(view)
    assert policy.choose("old", 5.0) is LoadMode.FINISH_FIRST
    assert policy.choose("old", 5.0 + RUNNING_ITEM_SECONDS) is LoadMode.CONTINUE
