"""Decisions of an outbound gateway's sender: see rainpier.policy and rainpier.interface."""
