"""Decisions of an outbound gateway's sender: see dykespoke.policy and dykespoke.interface."""
