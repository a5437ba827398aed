"""Starts a small deployment for a review case and records what it sees."""
