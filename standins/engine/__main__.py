"""Runs a model engine's stand-in."""

from standins.engine import EngineOptions, make_application
from standins.server import make_argument_parser, run


def main() -> None:
    """Reads flags and serves."""
    parser = make_argument_parser("engine")
    parser.add_argument("--version", type=int, default=1)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--token-seconds", type=float, default=0.002)
    parser.add_argument("--prefill-token-seconds", type=float, default=0.00005)
    parser.add_argument("--cache-tokens", type=int, default=100_000)
    parser.add_argument("--swap-seconds", type=float, default=0.2)
    parser.add_argument(
        "--swap-mode", choices=("continue", "pause", "abort"), default="continue"
    )
    parser.add_argument("--ignore-old-terms", action="store_true")
    parser.add_argument("--state-lag-seconds", type=float, default=0.0)
    parser.add_argument("--event-lag-seconds", type=float, default=0.5)
    parser.add_argument("--event-gap-every", type=int, default=7)
    flags = vars(parser.parse_args())
    address, port = flags.pop("address"), flags.pop("port")
    flags["refuse_old_terms"] = not flags.pop("ignore_old_terms")
    run(lambda: make_application(EngineOptions(**flags)), address, port)


if __name__ == "__main__":
    main()
