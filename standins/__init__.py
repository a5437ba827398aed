"""Small stand-ins for the platform and for upstreams, for tests and the demo."""
