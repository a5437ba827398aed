"""Examples, and a demo that runs a small deployment."""
