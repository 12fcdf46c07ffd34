"""Rounds: events to the policy, actions to the carriers, steps to the store."""
