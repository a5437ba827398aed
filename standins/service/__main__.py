"""Runs a plain service's stand-in."""

from standins.server import make_argument_parser, run
from standins.service import make_application


def main() -> None:
    """Reads flags and serves."""
    parser = make_argument_parser("service")
    parser.add_argument("--delay-seconds", type=float, default=0.0)
    flags = parser.parse_args()
    run(lambda: make_application(delay=flags.delay_seconds), flags.address, flags.port)


if __name__ == "__main__":
    main()
