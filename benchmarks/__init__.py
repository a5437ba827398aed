"""Measurements behind the design notes."""
