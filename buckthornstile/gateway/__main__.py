"""Runs a gateway: ``python -m buckthornstile.gateway``."""

from buckthornstile.gateway import run_gateway

if __name__ == "__main__":
    run_gateway()
