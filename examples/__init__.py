"""Examples, and the demo that runs a whole small deployment."""
