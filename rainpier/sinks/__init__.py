"""Completion sinks: report the final status of undelivered messages."""
