"""Stand-ins for the platform's store and for upstreams, and tools to run them.

Tests, benchmarks and the demo use them; the product does not.
"""
