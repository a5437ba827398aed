"""Measurements of the product; none of them is a timed test."""
