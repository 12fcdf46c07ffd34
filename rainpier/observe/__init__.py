"""Diagnostics of decisions: structured events, recorded rounds, and the causes of lost worth."""
