"""The agent: one process beside each upstream, and the only way to it."""

from buckthornstile.agent._daemon import Agent, make_agent, run_agent, serve_agent

__all__ = ["Agent", "make_agent", "run_agent", "serve_agent"]
