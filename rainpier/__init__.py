"""Delivers messages to other companies' endpoints, each as far as its class permits. See rainpier.policy."""

__version__ = "0.2.0"
