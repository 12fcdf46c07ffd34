"""Listeners through which client programs submit messages."""
