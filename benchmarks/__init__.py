"""Benchmarks, experiments with faults, and long runs of the state machine tests."""
