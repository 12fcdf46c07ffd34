"""Data structures that the decisions rest on; general, without any input or output."""
