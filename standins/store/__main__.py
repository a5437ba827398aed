"""Starts the store's stand-in: ``python -m standins.store``."""

from standins.server import make_argument_parser, run_server
from standins.store import make_application

if __name__ == "__main__":
    parser = make_argument_parser("store")
    parser.add_argument("--retention", type=float, default=20.0)
    flags = parser.parse_args()
    run_server(
        lambda: make_application(retention=flags.retention), flags.address, flags.port
    )
