"""Runs a gateway: ``python -m buckthornstile.gateway``."""

from buckthornstile.gateway import run_gateway
from buckthornstile.platform import read_node_settings

if __name__ == "__main__":
    run_gateway(read_node_settings())
